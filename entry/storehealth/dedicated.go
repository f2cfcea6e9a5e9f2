package storehealth

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// Dedicated reads the store over connections of its own, so that closing its idle connections
// disturbs no other call. Its outcomes count like those of the Store that it belongs to.
type Dedicated struct {
	client *kv.Client
	health *Store
}

// NewDedicated returns reads over the connections of client.
func NewDedicated(client *kv.Client, health *Store) *Dedicated {
	return &Dedicated{client: client, health: health}
}

// Range reads a page like kv.Client and observes the outcome.
func (d *Dedicated) Range(ctx context.Context, prefix, after string, read kv.Consistency) (kv.Page, error) {
	sent := d.health.noteSent()
	page, err := d.client.Range(ctx, prefix, after, read)
	d.health.observeOf(read, sent, err)
	return page, err
}

// Watch waits for changes like kv.Client. As for Store.Watch, a failure says nothing about the
// store.
func (d *Dedicated) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Events, error) {
	sent := time.Now()
	events, err := d.client.Watch(ctx, prefix, after, wait)
	if err == nil {
		d.health.observe(sent, nil)
	}
	return events, err
}

// Txn makes a transaction like kv.Client and observes the outcome.
func (d *Dedicated) Txn(ctx context.Context, t kv.Txn) (kv.TxnResult, error) {
	sent := d.health.noteSent()
	result, err := d.client.Txn(ctx, t)
	d.health.observeWrite(sent, err)
	return result, err
}

// CloseIdle closes the connections that no call uses.
func (d *Dedicated) CloseIdle() { d.client.CloseIdle() }
