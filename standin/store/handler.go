package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// MaxWatchWait is the longest time for which the store holds a watch without changes open.
const MaxWatchWait = 30 * time.Second

// Handler serves the store over HTTP. It is safe for concurrent use.
type Handler struct {
	memory *memory
	faults faults
	mux    *http.ServeMux
}

// NewHandler returns a handler with an empty store.
func NewHandler() *Handler {
	h := &Handler{memory: newMemory(), mux: http.NewServeMux()}
	object := httpstore.ObjectsPath + "/{key...}"
	h.handle("GET "+object, func(c *Calls) { c.Get++ }, h.get)
	h.handle("PUT "+object, func(c *Calls) { c.Put++ }, h.put)
	h.handle("DELETE "+object, func(c *Calls) { c.Delete++ }, h.delete)
	h.handle("GET "+httpstore.ObjectsPath, func(c *Calls) { c.List++ }, h.list)
	h.handle("GET "+httpstore.WatchPath, func(c *Calls) { c.Watch++ }, h.watch)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// handle registers serve for pattern. Each request is counted and subject to the faults that apply to
// every kind of request.
func (h *Handler) handle(pattern string, count func(*Calls), serve http.HandlerFunc) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		fault := h.faults.beginRequest(count)
		if fault.unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !delayRequest(r.Context(), fault.delay) {
			return
		}
		serve(w, r)
	})
}

func delayRequest(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	return wait.For(ctx, d)
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	var obj httpstore.Change
	var ok bool
	h.readContent(func(s snapshot) { obj, ok = s.get(r.PathValue("key")) })
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", httpstore.FormatETag(obj.Version))
	_, _ = w.Write(obj.Value)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectstore.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	h.write(w, r, value, false)
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	h.write(w, r, nil, true)
}

func (h *Handler) write(w http.ResponseWriter, r *http.Request, value []byte, deleted bool) {
	ifVersion, err := parseCondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	version, err := h.memory.write(r.PathValue("key"), value, deleted, ifVersion)
	if err != nil {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if !deleted && h.faults.dropNextPutResponse() {
		panic(http.ErrAbortHandler) // net/http closes the connection without a response
	}
	w.Header().Set("ETag", httpstore.FormatETag(version))
	w.WriteHeader(http.StatusNoContent)
}

func parseCondition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	if tag := r.Header.Get("If-Match"); tag != "" {
		return httpstore.ParseETag(tag)
	}
	return 0, errors.New("write has no condition; send If-Match with the version read, or If-None-Match: *")
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	var body httpstore.Changes
	h.readContent(func(s snapshot) { body = s.list(r.URL.Query().Get(httpstore.ParamPrefix)) })
	writeJSON(w, body)
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(httpstore.ParamAfter), 10, 64)
	maxWait, waitErr := time.ParseDuration(query.Get(httpstore.ParamWait))
	if err != nil || waitErr != nil {
		http.Error(w, "watch needs after as a revision and wait as a duration such as 3s", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(maxWait, MaxWatchWait))
	defer timeout.Stop()
	for {
		body, changed := h.changesSince(query.Get(httpstore.ParamPrefix), after)
		if len(body.Objects) > 0 {
			writeJSON(w, body)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, body)
			return
		case <-r.Context().Done():
			return
		}
		if h.faults.isUnavailable() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (h *Handler) changesSince(prefix string, after uint64) (httpstore.Changes, <-chan struct{}) {
	var body httpstore.Changes
	changed := h.readContent(func(s snapshot) { body = s.changedSince(prefix, after) })
	return body, changed
}

// readContent calls f with the current content, or with the old copy if this read is a stale one. The
// returned channel is closed at the next change.
func (h *Handler) readContent(f func(snapshot)) <-chan struct{} {
	if old, ok := h.faults.staleContent(); ok {
		f(old)
		return h.memory.read(func(snapshot) {})
	}
	return h.memory.read(f)
}

func writeJSON(w http.ResponseWriter, body httpstore.Changes) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
