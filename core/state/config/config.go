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

// ServiceType says what stands behind a service.
type ServiceType string

// The service types.
const (
	ModelService ServiceType = "model"
	PlainService ServiceType = "plain"
)

// Route marks the paths below Prefix as idempotent or not.
type Route struct {
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Service is a model or a plain service and the places it may run in.
type Service struct {
	Name             string      `json:"name"`
	Type             ServiceType `json:"type"`
	Places           []string    `json:"places"` // nearest first
	FirstTokenTarget Duration    `json:"first_token_target,omitempty"`
	TokenTarget      Duration    `json:"token_target,omitempty"` // between two tokens
	Routes           []Route     `json:"routes,omitempty"`
}

// Permits reports whether service may run in place.
func (service Service) Permits(place string) bool {
	return slices.Contains(service.Places, place)
}

// Idempotent reports whether a request to path may run more than once; the longest matching prefix decides.
func (service Service) Idempotent(path string) bool {
	idempotent, longest := true, -1
	for _, route := range service.Routes {
		if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > longest {
			idempotent, longest = route.Idempotent, len(route.Prefix)
		}
	}
	return idempotent
}

// Account is a client account: its keys, the services it may use, its share and its limits.
type Account struct {
	Name              string   `json:"name"`
	KeysSHA256        []string `json:"keys_sha256"` // hexadecimal digests of the API keys
	Services          []string `json:"services"`
	Places            []string `json:"places,omitempty"` // empty allows all the places of a service
	Weight            float64  `json:"weight"`
	RequestsPerSecond float64  `json:"requests_per_second"`
	TokensPerSecond   float64  `json:"tokens_per_second"`
	Operator          bool     `json:"operator,omitempty"`
}

// WithWeight returns a copy of account with the given share.
func (account Account) WithWeight(weight float64) Account {
	account.Weight = weight
	return account
}

// MayUse reports whether account may call service.
func (account Account) MayUse(service string) bool {
	return slices.Contains(account.Services, service)
}

// MayRunIn reports whether the account's work may run in place.
func (account Account) MayRunIn(place string) bool {
	return len(account.Places) == 0 || slices.Contains(account.Places, place)
}

// Rule gives an account another share on one service.
type Rule struct {
	Name    string  `json:"name"`
	Account string  `json:"account"`
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Configuration is one whole declaration in force from Version on.
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
	keys     map[string]string // digest of an API key to the account's name
	weights  map[[2]string]float64
}

// WithVersion returns a copy of configuration that carries version.
func (configuration Configuration) WithVersion(version int64) Configuration {
	configuration.Version = version
	return configuration
}

// Indexed returns a copy of configuration that answers look-ups in constant time.
func (configuration Configuration) Indexed() Configuration {
	built := &index{
		services: make(map[string]Service, len(configuration.Services)),
		accounts: make(map[string]Account, len(configuration.Accounts)),
		keys:     make(map[string]string, len(configuration.Accounts)),
		weights:  make(map[[2]string]float64, len(configuration.Rules)),
	}
	for _, service := range configuration.Services {
		built.services[service.Name] = service
	}
	for _, account := range configuration.Accounts {
		built.accounts[account.Name] = account
		for _, digest := range account.KeysSHA256 {
			built.keys[digest] = account.Name
		}
	}
	for _, rule := range configuration.Rules {
		built.weights[[2]string{rule.Account, rule.Service}] = rule.Weight
	}
	configuration.index = built
	return configuration
}

// Service returns the service called name.
func (configuration Configuration) Service(name string) (service Service, ok bool) {
	if configuration.index == nil {
		return Service{}, false
	}
	service, ok = configuration.index.services[name]
	return service, ok
}

// Account returns the account called name.
func (configuration Configuration) Account(name string) (account Account, ok bool) {
	if configuration.index == nil {
		return Account{}, false
	}
	account, ok = configuration.index.accounts[name]
	return account, ok
}

// AccountByKey returns the account that an API key belongs to.
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
	for _, known := range account.KeysSHA256 {
		if subtle.ConstantTimeCompare([]byte(known), []byte(digest)) == 1 {
			return account, true
		}
	}
	return Account{}, false
}

// Weight returns the share of account on service, a rule before the account's own.
func (configuration Configuration) Weight(account, service string) float64 {
	if configuration.index == nil {
		return 1
	}
	if weight, ok := configuration.index.weights[[2]string{account, service}]; ok {
		return weight
	}
	if known, ok := configuration.index.accounts[account]; ok {
		return known.Weight
	}
	return 1
}

// KeyDigest returns the form in which an API key stands in a declaration.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Encode returns configuration as JSON.
func (configuration Configuration) Encode() (data []byte, err error) {
	data, err = json.Marshal(configuration)
	return data, errors.Annotate(err, "encoding configuration")
}

// Decode reads what Encode wrote and indexes it.
func Decode(data []byte) (configuration Configuration, err error) {
	if err = json.Unmarshal(data, &configuration); err != nil {
		return Configuration{}, errors.Annotate(err, "decoding configuration")
	}
	return configuration.Indexed(), nil
}

// Duration returns duration as the standard library's type.
func (duration Duration) Duration() time.Duration { return time.Duration(duration) }
