package authentication

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"cowslipway/core/state/routes"
)

const (
	shardCount   = 256 // a changed key copies 1/256 of the index
	prefixDigits = 8   // of a digest in logs: tells the keys of a deployment apart, and does not reveal a key
)

// Digest is the SHA-256 digest of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the start of digest, for logs.
func (digest Digest) String() string { return hex.EncodeToString(digest[:])[:prefixDigits] }

// Directory finds the accounts of one routing table by their keys; it is immutable. The zero value has no accounts.
type Directory struct {
	table    *routes.Table
	accounts []*routes.Account // sorted by name, as in table
	shards   [shardCount]map[Digest]*routes.Account
	shared   bool // a key is held by several accounts
}

// Table returns the routing table that directory is built from; nil if there is none.
func (directory *Directory) Table() *routes.Table { return directory.table }

// HasAccounts reports whether the configuration has accounts, so that calls need a key.
func (directory *Directory) HasAccounts() bool { return len(directory.accounts) > 0 }

// Find returns the account that holds the key with the given digest.
func (directory *Directory) Find(digest Digest) (account *routes.Account, ok bool) {
	account, ok = directory.shards[digest[0]][digest]
	return account, ok
}

// With returns the directory of table. It hashes and indexes only the keys of accounts that differ from those of directory.
func (directory *Directory) With(table *routes.Table) *Directory {
	if directory.shared {
		directory = &Directory{} // the other holder of a key that is taken away would be lost
	}
	next := &Directory{table: table, shards: directory.shards}
	var removed, added []*routes.Account
	previous := directory.accounts
	for i := range table.Accounts {
		account := &table.Accounts[i]
		for len(previous) > 0 && previous[0].Name < account.Name {
			removed, previous = append(removed, previous[0]), previous[1:]
		}
		if len(previous) > 0 && previous[0].Name == account.Name {
			known := previous[0]
			previous = previous[1:]
			if equal(known, account) {
				next.accounts = append(next.accounts, known)
				continue
			}
			removed = append(removed, known)
		}
		held := *account // a pointer into the table would keep all of it in memory
		next.accounts, added = append(next.accounts, &held), append(added, &held)
	}
	next.change(append(removed, previous...), added)
	return next
}

// equal reports whether two accounts are the same in all that a request goes by.
func equal(a, b *routes.Account) bool {
	return a.Name == b.Name && a.Priority == b.Priority && a.Rate == b.Rate && a.Burst == b.Burst && slices.Equal(a.Keys, b.Keys)
}

// change removes and adds the keys of accounts. Shards that change are copied first.
func (directory *Directory) change(removed, added []*routes.Account) {
	var copied [shardCount]bool
	shard := func(digest Digest) map[Digest]*routes.Account {
		number := digest[0]
		if !copied[number] {
			directory.shards[number], copied[number] = maps.Clone(directory.shards[number]), true
			if directory.shards[number] == nil {
				directory.shards[number] = map[Digest]*routes.Account{}
			}
		}
		return directory.shards[number]
	}
	for _, account := range removed {
		for _, key := range account.Keys {
			digest := DigestOf(key)
			delete(shard(digest), digest)
		}
	}
	for _, account := range added {
		for _, key := range account.Keys {
			if strings.TrimSpace(key) == "" {
				continue // a call without a key must not become that of an account
			}
			digest := DigestOf(key)
			keys := shard(digest)
			if holder, ok := keys[digest]; ok && holder != account {
				directory.shared = true
				continue // the account whose name comes first holds the key
			}
			keys[digest] = account
		}
	}
}
