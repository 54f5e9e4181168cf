package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ServiceType is the type of a service.
type ServiceType string

// The service types.
const (
	ModelService ServiceType = "model" // serves a model
	PlainService ServiceType = "plain" // serves any other HTTP requests
)

// Route says whether requests to the paths that start with Prefix are idempotent.
type Route struct {
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Service declares a service and the places that it may run in.
type Service struct {
	Name             string      `json:"name"`
	Type             ServiceType `json:"type"`
	Places           []string    `json:"places"`                       // permitted places, nearest first
	FirstTokenTarget Duration    `json:"first_token_target,omitempty"` // target for the time to the first token; 0 means none
	TokenTarget      Duration    `json:"token_target,omitempty"`       // target for the time between two tokens; 0 means none
	Routes           []Route     `json:"routes,omitempty"`
}

// Permits reports whether service may run in the given place.
func (service Service) Permits(place string) bool {
	return slices.Contains(service.Places, place)
}

// Idempotent reports whether a request to path may run more than once, according to the route with the longest matching
// prefix. Without a matching route, it may.
func (service Service) Idempotent(path string) bool {
	idempotent, longest := true, -1
	for _, route := range service.Routes {
		if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > longest {
			idempotent, longest = route.Idempotent, len(route.Prefix)
		}
	}
	return idempotent
}

// Account declares a client account: its keys, the services and places that it may use, its weight and its rate limits.
type Account struct {
	Name              string   `json:"name"`
	KeysSHA256        []string `json:"keys_sha256"`      // SHA-256 digests of the API keys, in hexadecimal
	Services          []string `json:"services"`         // names of the services that the account may use
	Places            []string `json:"places,omitempty"` // places that the account may use; empty allows all places of a service
	Weight            float64  `json:"weight"`           // share of a service relative to the weights of other accounts
	RequestsPerSecond float64  `json:"requests_per_second"`
	TokensPerSecond   float64  `json:"tokens_per_second"`
	Operator          bool     `json:"operator,omitempty"` // may use the operator interface
}

// WithWeight returns a copy of account with the given weight.
func (account Account) WithWeight(weight float64) Account {
	account.Weight = weight
	return account
}

// MayUse reports whether account may use service.
func (account Account) MayUse(service string) bool {
	return slices.Contains(account.Services, service)
}

// MayRunIn reports whether requests of account may run in the given place.
func (account Account) MayRunIn(place string) bool {
	return len(account.Places) == 0 || slices.Contains(account.Places, place)
}

// Rule overrides the weight of an account for one service.
type Rule struct {
	Name    string  `json:"name"`
	Account string  `json:"account"`
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Configuration is one version of the declaration of the operators.
type Configuration struct {
	Version  int64     `json:"version"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Rules    []Rule    `json:"rules,omitempty"`

	index *index
}

type index struct {
	services map[string]Service
	accounts map[string]Account
	keys     map[string]string     // account names by digest of an API key
	weights  map[[2]string]float64 // weights of rules by account and service
}

// WithVersion returns a copy of configuration with the given version.
func (configuration Configuration) WithVersion(version int64) Configuration {
	configuration.Version = version
	return configuration
}

// Indexed returns a copy of configuration with an index, which Service, Account, AccountByKey and Weight require.
func (configuration Configuration) Indexed() Configuration {
	indexed := &index{
		services: make(map[string]Service, len(configuration.Services)),
		accounts: make(map[string]Account, len(configuration.Accounts)),
		keys:     make(map[string]string, len(configuration.Accounts)),
		weights:  make(map[[2]string]float64, len(configuration.Rules)),
	}
	for _, service := range configuration.Services {
		indexed.services[service.Name] = service
	}
	for _, account := range configuration.Accounts {
		indexed.accounts[account.Name] = account
		for _, digest := range account.KeysSHA256 {
			indexed.keys[digest] = account.Name
		}
	}
	for _, rule := range configuration.Rules {
		indexed.weights[[2]string{rule.Account, rule.Service}] = rule.Weight
	}
	configuration.index = indexed
	return configuration
}

// Service returns the service with the given name.
func (configuration Configuration) Service(name string) (service Service, ok bool) {
	if configuration.index == nil {
		return Service{}, false
	}
	service, ok = configuration.index.services[name]
	return service, ok
}

// Account returns the account with the given name.
func (configuration Configuration) Account(name string) (account Account, ok bool) {
	if configuration.index == nil {
		return Account{}, false
	}
	account, ok = configuration.index.accounts[name]
	return account, ok
}

// AccountByKey returns the account of an API key.
func (configuration Configuration) AccountByKey(key string) (account Account, ok bool) {
	if configuration.index == nil {
		return Account{}, false
	}
	digest := KeyDigest(key)
	name, ok := configuration.index.keys[digest]
	if !ok {
		return Account{}, false
	}
	account = configuration.index.accounts[name]
	for _, candidate := range account.KeysSHA256 {
		if subtle.ConstantTimeCompare([]byte(candidate), []byte(digest)) == 1 {
			return account, true
		}
	}
	return Account{}, false
}

// Weight returns the weight of account for service: that of the matching rule, or else that of the account, or else 1.
func (configuration Configuration) Weight(account, service string) float64 {
	if configuration.index == nil {
		return 1
	}
	if weight, ok := configuration.index.weights[[2]string{account, service}]; ok {
		return weight
	}
	if declared, ok := configuration.index.accounts[account]; ok {
		return declared.Weight
	}
	return 1
}

// KeyDigest returns the SHA-256 digest of an API key in hexadecimal, the form used in Account.KeysSHA256.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Encode returns configuration as JSON.
func (configuration Configuration) Encode() (data []byte, err error) {
	data, err = json.Marshal(configuration)
	return data, errors.Annotate(err, "encoding configuration")
}

// Decode decodes a configuration that was encoded by Encode, and indexes it.
func Decode(data []byte) (configuration Configuration, err error) {
	if err = json.Unmarshal(data, &configuration); err != nil {
		return Configuration{}, errors.Annotate(err, "decoding configuration")
	}
	return configuration.Indexed(), nil
}

// Duration returns duration as a time.Duration.
func (duration Duration) Duration() time.Duration { return time.Duration(duration) }
