package engine

import (
	"runtime"
	"sync"
	"weak"

	"github.com/jackc/pgx/v5/pgproto3"
)

// connectionCaches holds a cache of prepared statements for each upstream connection, keyed by its Frontend,
// until the connection is closed or the Frontend is garbage-collected. A pool that wraps the same connection
// in a new Frontend starts with an empty cache, which is safe: a statement is closed before it is prepared.
type connectionCaches struct {
	mu     sync.Mutex
	caches map[weak.Pointer[pgproto3.Frontend]]*statementCache
}

func (c *connectionCaches) get(f *pgproto3.Frontend, limit int) *statementCache {
	key := weak.Make(f)
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := c.caches[key]; found != nil {
		return found
	}
	if c.caches == nil {
		c.caches = make(map[weak.Pointer[pgproto3.Frontend]]*statementCache)
	}
	fresh := &statementCache{limit: limit}
	c.caches[key] = fresh
	runtime.AddCleanup(f, c.remove, key)
	return fresh
}

func (c *connectionCaches) forget(f *pgproto3.Frontend) {
	c.remove(weak.Make(f))
}

func (c *connectionCaches) remove(key weak.Pointer[pgproto3.Frontend]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.caches, key)
}

// statementCache holds the names of the statements prepared on one connection. Only the current holder of
// the connection uses it.
type statementCache struct {
	limit int
	names map[string]struct{}
	order []string // oldest first
}

func (c *statementCache) has(name string) bool {
	_, found := c.names[name]
	return found
}

// add adds a statement and returns the name of the evicted one, if any.
func (c *statementCache) add(name string) (evicted string) {
	if c.names == nil {
		c.names = make(map[string]struct{})
	}
	if len(c.order) >= c.limit {
		evicted = c.order[0]
		c.order = append(c.order[:0], c.order[1:]...)
		delete(c.names, evicted)
	}
	c.names[name] = struct{}{}
	c.order = append(c.order, name)
	return evicted
}

// clear removes all statements after an error, since it is unknown then which of them exist or are still
// valid. The next use closes and prepares them again.
func (c *statementCache) clear() {
	c.names = nil
	c.order = nil
}
