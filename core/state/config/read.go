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
	maxPerSecond = 1e9 // requests or tokens
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// FieldError is an invalid value in a declaration or in settings.
type FieldError struct {
	File    string `json:"file"`
	Path    string `json:"path"` // JSON path, such as "$.services[0].name"; for references item and field, such as "account x.services"
	Message string `json:"message"`
}

// Error returns file, path and message on one line.
func (fieldError FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", fieldError.File, fieldError.Path, fieldError.Message)
}

// FieldErrors holds all errors of a declaration or of settings.
type FieldErrors []FieldError

// Error returns one line per error.
func (fieldErrors FieldErrors) Error() string {
	lines := make([]string, len(fieldErrors))
	for i, fieldError := range fieldErrors {
		lines[i] = fieldError.Error()
	}
	return strings.Join(lines, "\n")
}

// document is the JSON document in one file of a declaration.
type document struct {
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Rules    []Rule    `json:"rules"`
}

// parser parses the files of a declaration and collects all errors.
type parser struct {
	errs          FieldErrors
	configuration Configuration
	files         map[string]string // declaring file by kind and name, such as "service x"
}

// ReadDir reads all *.json files in fsys as one declaration. The error is of type FieldErrors.
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

// Read parses a declaration from the contents of its files by name. The error is of type FieldErrors.
func Read(files map[string][]byte) (configuration Configuration, err error) {
	parser := &parser{files: map[string]string{}}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		parser.read(name, files[name])
	}
	if err = parser.result(); err != nil {
		return Configuration{}, err
	}
	return parser.configuration.Indexed(), nil
}

// Check validates a declaration that was not read from files. The error is of type FieldErrors.
func Check(configuration Configuration) (err error) {
	data, err := json.Marshal(document{Services: configuration.Services, Accounts: configuration.Accounts, Rules: configuration.Rules})
	if err != nil {
		return FieldErrors{{File: "declaration", Path: "$", Message: err.Error()}}
	}
	parser := &parser{files: map[string]string{}}
	parser.read("declaration", data)
	return parser.result()
}

// result checks that a service is declared, validates the references between items and returns all errors.
func (parser *parser) result() (err error) {
	if len(parser.configuration.Services) == 0 {
		parser.add(".", "$", "a declaration needs at least one service")
	}
	parser.checkReferences()
	if len(parser.errs) > 0 {
		return parser.errs
	}
	return nil
}

func (parser *parser) add(file, jsonPath, format string, values ...any) {
	parser.errs = append(parser.errs, FieldError{File: file, Path: jsonPath, Message: fmt.Sprintf(format, values...)})
}

// read parses and validates one file.
func (parser *parser) read(file string, data []byte) {
	var document document
	if err := DecodeStrict(data, &document); err != nil {
		parser.add(file, "$", "%s", err)
		return
	}
	for i, service := range document.Services {
		jsonPath := fmt.Sprintf("$.services[%d]", i)
		parser.declare(file, jsonPath, "service", service.Name)
		parser.checkService(file, jsonPath, service)
	}
	for i, account := range document.Accounts {
		jsonPath := fmt.Sprintf("$.accounts[%d]", i)
		parser.declare(file, jsonPath, "account", account.Name)
		parser.checkAccount(file, jsonPath, account)
	}
	for i, rule := range document.Rules {
		jsonPath := fmt.Sprintf("$.rules[%d]", i)
		parser.declare(file, jsonPath, "rule", rule.Name)
		parser.checkWeight(file, jsonPath, rule.Weight)
	}
	parser.configuration.Services = append(parser.configuration.Services, document.Services...)
	parser.configuration.Accounts = append(parser.configuration.Accounts, document.Accounts...)
	parser.configuration.Rules = append(parser.configuration.Rules, document.Rules...)
}

// DecodeStrict decodes one JSON value into value. It rejects unknown fields and trailing data; errors start with the line
// number.
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

// lineAt returns the line number of the byte at offset, counted from 1.
func lineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// declare checks the name of an item and that no other item of its kind has the same name, and records the item's file.
func (parser *parser) declare(file, jsonPath, kind, name string) {
	if !namePattern.MatchString(name) {
		parser.add(file, jsonPath+".name", "%q is no name; 1 to 63 characters of a-z, 0-9, '.', '_' and '-' are allowed", name)
		return
	}
	key := kind + " " + name
	if otherFile, ok := parser.files[key]; ok {
		parser.add(file, jsonPath+".name", "%s %q is declared in %s already", kind, name, otherFile)
		return
	}
	parser.files[key] = file
}

func (parser *parser) checkService(file, jsonPath string, service Service) {
	if service.Type != ModelService && service.Type != PlainService {
		parser.add(file, jsonPath+".type", "%q is not allowed; %q and %q are", service.Type, ModelService, PlainService)
	}
	if len(service.Places) == 0 {
		parser.add(file, jsonPath+".places", "a service needs at least one place")
	}
	parser.checkPlaces(file, jsonPath, service.Places)
	if service.FirstTokenTarget < 0 {
		parser.add(file, jsonPath+".first_token_target", "%s is not allowed; 0s (none) or more is", service.FirstTokenTarget.Duration())
	}
	if service.TokenTarget < 0 {
		parser.add(file, jsonPath+".token_target", "%s is not allowed; 0s (none) or more is", service.TokenTarget.Duration())
	}
	for i, route := range service.Routes {
		if !strings.HasPrefix(route.Prefix, "/") {
			parser.add(file, fmt.Sprintf("%s.routes[%d].prefix", jsonPath, i), "%q does not begin with '/'", route.Prefix)
		}
	}
}

func (parser *parser) checkPlaces(file, jsonPath string, places []string) {
	for i, place := range places {
		if !namePattern.MatchString(place) {
			parser.add(file, fmt.Sprintf("%s.places[%d]", jsonPath, i), "%q is no name of a place", place)
		}
	}
}

func (parser *parser) checkAccount(file, jsonPath string, account Account) {
	parser.checkWeight(file, jsonPath, account.Weight)
	parser.checkPlaces(file, jsonPath, account.Places)
	if !inRange(account.RequestsPerSecond, maxPerSecond) {
		parser.add(file, jsonPath+".requests_per_second", "%v is not allowed; above 0 and up to %v is", account.RequestsPerSecond, maxPerSecond)
	}
	if !inRange(account.TokensPerSecond, maxPerSecond) {
		parser.add(file, jsonPath+".tokens_per_second", "%v is not allowed; above 0 and up to %v is", account.TokensPerSecond, maxPerSecond)
	}
	if len(account.KeysSHA256) == 0 {
		parser.add(file, jsonPath+".keys_sha256", "an account needs the digest of at least one key")
	}
	for i, digest := range account.KeysSHA256 {
		if len(digest) != 64 || strings.Trim(digest, "0123456789abcdef") != "" {
			parser.add(file, fmt.Sprintf("%s.keys_sha256[%d]", jsonPath, i), "%q is no SHA-256 digest of 64 lower-case hexadecimal digits", digest)
		}
	}
}

func (parser *parser) checkWeight(file, jsonPath string, weight float64) {
	if !inRange(weight, maxWeight) {
		parser.add(file, jsonPath+".weight", "%v is not allowed; above 0 and up to %v is", weight, maxWeight)
	}
}

// checkReferences validates what can be checked only after all files were read: that the services and accounts referred to are
// declared, and that no two accounts have the same API key.
func (parser *parser) checkReferences() {
	owners := map[string]string{} // account names by key digest
	for _, account := range parser.configuration.Accounts {
		file := parser.files["account "+account.Name]
		for _, service := range account.Services {
			parser.checkReference(file, "account "+account.Name+".services", "service", service)
		}
		for _, digest := range account.KeysSHA256 {
			if otherAccount, ok := owners[digest]; ok {
				parser.add(file, "account "+account.Name+".keys_sha256", "account %q has the same key", otherAccount)
			}
			owners[digest] = account.Name
		}
	}
	for _, rule := range parser.configuration.Rules {
		file := parser.files["rule "+rule.Name]
		parser.checkReference(file, "rule "+rule.Name+".account", "account", rule.Account)
		parser.checkReference(file, "rule "+rule.Name+".service", "service", rule.Service)
	}
}

func (parser *parser) checkReference(file, jsonPath, kind, name string) {
	if _, ok := parser.files[kind+" "+name]; !ok {
		parser.add(file, jsonPath, "%s %q is not declared", kind, name)
	}
}

func inRange(value, limit float64) bool {
	return value > 0 && value <= limit && !math.IsNaN(value)
}
