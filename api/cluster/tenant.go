package cluster

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/tarragonreach/tarragonreach/api/job"
)

// TenantName identifies a tenant. It is empty for work that belongs to no tenant: that of public
// queues, and what was accepted before the operator configured tenants.
type TenantName string

// Tenant is an organisation: its callers share the capacity with those of others.
type Tenant struct {
	Name TenantName
	// Weight is the tenant's share when capacity is scarce, relative to that of others, and the
	// number of jobs a second that the tenant may expect to be served. It is above zero.
	Weight float64
	// Limit bounds what the tenant may have running on all executors of all services together. A
	// resource that is zero is not limited.
	Limit job.Resources
}

// keyDigest stands for an API key. Keys are kept as digests only, so that they can't get into a
// log or an error, and so that the time of a lookup does not depend on how many characters of a
// key were right.
type keyDigest [sha256.Size]byte

// AddTenant adds a tenant with its API keys, or adds the keys to the tenant of that name if there is
// one; its weight and limit stay then. A key that an earlier tenant holds stays with that one;
// AddTenant returns how many there are of these, and whether the tenant was added.
func (c *Config) AddTenant(t Tenant, keys []string) (held int, added bool) {
	if c.keys == nil {
		c.keys, c.names = map[keyDigest]int{}, map[TenantName]int{}
	}
	position, listed := c.names[t.Name]
	if added = !listed; added {
		position = len(c.Tenants)
		c.Tenants = append(c.Tenants, t)
		c.names[t.Name] = position
	}
	for _, key := range keys {
		digest := digestOf(key)
		holder, found := c.keys[digest]
		switch {
		case key == "":
		case !found:
			c.keys[digest] = position
		case holder != position:
			held++
		}
	}
	return held, added
}

// digestOf returns the digest of an API key.
func digestOf(key string) keyDigest { return sha256.Sum256([]byte(key)) }

// DigestKey returns the digest of an API key in hexadecimal digits.
func DigestKey(key string) string {
	digest := digestOf(key)
	return hex.EncodeToString(digest[:])
}

// Authenticate returns the tenant that holds an API key, and whether there is one.
func (c *Config) Authenticate(key string) (Tenant, bool) { return c.holder(digestOf(key)) }

// AuthenticateDigest is like Authenticate, for a key of which only the result of DigestKey is known.
func (c *Config) AuthenticateDigest(digest string) (Tenant, bool) {
	decoded, err := hex.DecodeString(digest)
	if err != nil || len(decoded) != sha256.Size {
		return Tenant{}, false
	}
	return c.holder(keyDigest(decoded))
}

func (c *Config) holder(digest keyDigest) (Tenant, bool) {
	position, found := c.keys[digest]
	if !found {
		return Tenant{}, false
	}
	return c.Tenants[position], true
}
