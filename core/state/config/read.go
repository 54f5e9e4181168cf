package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"math"
	"path"
	"regexp"
	"sort"
	"strings"
)

const (
	maxWeight    = 1e6
	maxPerSecond = 1e9
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// FieldError is one fault in a declaration: where it stands and what would be allowed.
type FieldError struct {
	File    string `json:"file"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error returns fieldError on one line.
func (fieldError FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", fieldError.File, fieldError.Path, fieldError.Message)
}

// FieldErrors is all that is wrong with a declaration.
type FieldErrors []FieldError

// Error returns each mistake on a line of its own.
func (fieldErrors FieldErrors) Error() string {
	lines := make([]string, len(fieldErrors))
	for i, fieldError := range fieldErrors {
		lines[i] = fieldError.Error()
	}
	return strings.Join(lines, "\n")
}

// document is the content of one file of a declaration.
type document struct {
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Rules    []Rule    `json:"rules"`
}

type reader struct {
	mistakes      FieldErrors
	configuration Configuration
	files         map[string]string // "service x" to the file that declared it
}

// ReadDir reads every *.json file below fsys as one declaration; the error is of type FieldErrors.
func ReadDir(fsys fs.FS) (configuration Configuration, err error) {
	files := map[string][]byte{}
	err = fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || path.Ext(name) != ".json" {
			return nil
		}
		files[name], err = fs.ReadFile(fsys, name)
		return err
	})
	if err != nil {
		return Configuration{}, FieldErrors{{File: ".", Path: "$", Message: err.Error()}}
	}
	return Read(files)
}

// Read reads a declaration from the contents of its files; the error is of type FieldErrors.
func Read(files map[string][]byte) (configuration Configuration, err error) {
	reader := &reader{files: map[string]string{}}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		reader.read(name, files[name])
	}
	if err = reader.result(); err != nil {
		return Configuration{}, err
	}
	return reader.configuration.Indexed(), nil
}

// Check checks a declaration that does not come from files; the error is of type FieldErrors.
func Check(configuration Configuration) (err error) {
	data, err := json.Marshal(document{Services: configuration.Services, Accounts: configuration.Accounts, Rules: configuration.Rules})
	if err != nil {
		return FieldErrors{{File: "declaration", Path: "$", Message: err.Error()}}
	}
	reader := &reader{files: map[string]string{}}
	reader.read("declaration", data)
	return reader.result()
}

// result checks what spans the files and returns all mistakes.
func (reader *reader) result() (err error) {
	if len(reader.configuration.Services) == 0 {
		reader.add(".", "$", "a declaration needs at least one service")
	}
	reader.checkReferences()
	if len(reader.mistakes) > 0 {
		return reader.mistakes
	}
	return nil
}

func (reader *reader) add(file, path, format string, values ...any) {
	reader.mistakes = append(reader.mistakes, FieldError{File: file, Path: path, Message: fmt.Sprintf(format, values...)})
}

func (reader *reader) read(file string, data []byte) {
	var document document
	if err := DecodeStrict(data, &document); err != nil {
		reader.add(file, "$", "%s", err)
		return
	}
	for i, service := range document.Services {
		where := fmt.Sprintf("$.services[%d]", i)
		reader.declare(file, where, "service", service.Name)
		reader.checkService(file, where, service)
	}
	for i, account := range document.Accounts {
		where := fmt.Sprintf("$.accounts[%d]", i)
		reader.declare(file, where, "account", account.Name)
		reader.checkAccount(file, where, account)
	}
	for i, rule := range document.Rules {
		where := fmt.Sprintf("$.rules[%d]", i)
		reader.declare(file, where, "rule", rule.Name)
		reader.checkWeight(file, where, rule.Weight)
	}
	reader.configuration.Services = append(reader.configuration.Services, document.Services...)
	reader.configuration.Accounts = append(reader.configuration.Accounts, document.Accounts...)
	reader.configuration.Rules = append(reader.configuration.Rules, document.Rules...)
}

// DecodeStrict decodes one JSON value and refuses unknown fields and trailing data.
func DecodeStrict(data []byte, value any) (err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(value); err != nil {
		return fmt.Errorf("line %d: %s", lineAt(data, decoder.InputOffset()), strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err = decoder.Token(); err != io.EOF {
		return fmt.Errorf("line %d: data after the end of the document", lineAt(data, decoder.InputOffset()))
	}
	return nil
}

func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func (reader *reader) declare(file, where, kind, name string) {
	if !namePattern.MatchString(name) {
		reader.add(file, where+".name", "%q is no name; 1 to 63 characters of a-z, 0-9, '.', '_' and '-' are allowed", name)
		return
	}
	key := kind + " " + name
	if other, ok := reader.files[key]; ok {
		reader.add(file, where+".name", "%s %q is declared in %s already", kind, name, other)
		return
	}
	reader.files[key] = file
}

func (reader *reader) checkService(file, where string, service Service) {
	if service.Type != ModelService && service.Type != PlainService {
		reader.add(file, where+".type", "%q is not allowed; %q and %q are", service.Type, ModelService, PlainService)
	}
	if len(service.Places) == 0 {
		reader.add(file, where+".places", "a service needs at least one place")
	}
	reader.checkPlaces(file, where, service.Places)
	if service.FirstTokenTarget < 0 {
		reader.add(file, where+".first_token_target", "%s is not allowed; 0s (none) or more is", service.FirstTokenTarget.Duration())
	}
	if service.TokenTarget < 0 {
		reader.add(file, where+".token_target", "%s is not allowed; 0s (none) or more is", service.TokenTarget.Duration())
	}
	for i, route := range service.Routes {
		if !strings.HasPrefix(route.Prefix, "/") {
			reader.add(file, fmt.Sprintf("%s.routes[%d].prefix", where, i), "%q does not begin with '/'", route.Prefix)
		}
	}
}

func (reader *reader) checkPlaces(file, where string, places []string) {
	for i, place := range places {
		if !namePattern.MatchString(place) {
			reader.add(file, fmt.Sprintf("%s.places[%d]", where, i), "%q is no name of a place", place)
		}
	}
}

func (reader *reader) checkAccount(file, where string, account Account) {
	reader.checkWeight(file, where, account.Weight)
	reader.checkPlaces(file, where, account.Places)
	if !inRange(account.RequestsPerSecond, maxPerSecond) {
		reader.add(file, where+".requests_per_second", "%v is not allowed; above 0 and up to %v is", account.RequestsPerSecond, maxPerSecond)
	}
	if !inRange(account.TokensPerSecond, maxPerSecond) {
		reader.add(file, where+".tokens_per_second", "%v is not allowed; above 0 and up to %v is", account.TokensPerSecond, maxPerSecond)
	}
	if len(account.KeysSHA256) == 0 {
		reader.add(file, where+".keys_sha256", "an account needs the digest of at least one key")
	}
	for i, digest := range account.KeysSHA256 {
		if len(digest) != 64 || strings.Trim(digest, "0123456789abcdef") != "" {
			reader.add(file, fmt.Sprintf("%s.keys_sha256[%d]", where, i), "%q is no SHA-256 digest of 64 lower-case hexadecimal digits", digest)
		}
	}
}

func (reader *reader) checkWeight(file, where string, weight float64) {
	if !inRange(weight, maxWeight) {
		reader.add(file, where+".weight", "%v is not allowed; above 0 and up to %v is", weight, maxWeight)
	}
}

// checkReferences checks what can be told only when every file is read.
func (reader *reader) checkReferences() {
	keys := map[string]string{}
	for _, account := range reader.configuration.Accounts {
		file := reader.files["account "+account.Name]
		for _, service := range account.Services {
			reader.checkReference(file, "account "+account.Name+".services", "service", service)
		}
		for _, digest := range account.KeysSHA256 {
			if other, ok := keys[digest]; ok {
				reader.add(file, "account "+account.Name+".keys_sha256", "account %q has the same key", other)
			}
			keys[digest] = account.Name
		}
	}
	for _, rule := range reader.configuration.Rules {
		file := reader.files["rule "+rule.Name]
		reader.checkReference(file, "rule "+rule.Name+".account", "account", rule.Account)
		reader.checkReference(file, "rule "+rule.Name+".service", "service", rule.Service)
	}
}

func (reader *reader) checkReference(file, where, kind, name string) {
	if _, ok := reader.files[kind+" "+name]; !ok {
		reader.add(file, where, "%s %q is not declared", kind, name)
	}
}

func inRange(value, limit float64) bool {
	return value > 0 && value <= limit && !math.IsNaN(value)
}
