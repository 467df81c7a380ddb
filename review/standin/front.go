package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/cyclamenstile/cyclamenstile/platform/platformtest"
)

// front stands before the project's stand-in for the platform, and adds what it lacks: a PUT that changes nothing keeps the
// revision of the object, and promotions are recorded, with a check of their fences only where the platform has one.
type front struct {
	rec      *recorder
	inner    *platformtest.Platform
	proxy    http.Handler
	promote  func(database, id string) bool
	unfenced bool
	listener net.Listener

	mu     sync.Mutex
	fences map[string]uint64
	broken []string // what breaks ONE: a fence lower than one that was seen
}

func startFront(rec *recorder, inner *platformtest.Platform, unfenced bool, promote func(database, id string) bool) (*front, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	target := &url.URL{Scheme: "http", Host: inner.Address()}
	proxy := &httputil.ReverseProxy{
		Rewrite:      func(r *httputil.ProxyRequest) { r.SetURL(target) },
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
	}
	f := &front{rec: rec, inner: inner, proxy: proxy, promote: promote, unfenced: unfenced, listener: l, fences: map[string]uint64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", f.servePromote)
	mux.HandleFunc("PUT /cyclamenstile/objects/{kind}/{name}", f.servePut)
	mux.Handle("/", proxy)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return f, nil
}

func (f *front) address() string { return f.listener.Addr().String() }

type wireObject struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// servePut answers a PUT that changes nothing with the present object.
func (f *front) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var in wireObject
	present, ok := f.inner.Get(r.PathValue("kind"), r.PathValue("name"))
	if ok && json.Unmarshal(body, &in) == nil && (in.Meta.Revision == 0 || in.Meta.Revision == present.Revision) && sameJSON(in.Spec, present.Value) {
		var out wireObject
		out.Meta.Name, out.Meta.Revision, out.Spec, out.Status = present.Name, present.Revision, present.Value, present.Status
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", strconv.FormatUint(f.inner.Era(), 10))
		_ = json.NewEncoder(w).Encode(out)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	f.proxy.ServeHTTP(w, r)
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

func (f *front) servePromote(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Cyclamenstile-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Cyclamenstile-Lease-Holder")
	if err != nil || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	seen := f.fences[in.Service]
	f.fences[in.Service] = max(seen, fence)
	line := "PLATFORM  promote " + in.ID + " of " + in.Service + " is ordered by " + holder + " with fence " + shortFence(fence)
	if fence < seen {
		line += "; it has seen " + shortFence(seen)
		f.broken = append(f.broken, "ONE: "+strings.TrimPrefix(line, "PLATFORM  "))
	}
	f.mu.Unlock()
	f.rec.logf("%s", line)
	if fence < seen && !f.unfenced || !f.promote(in.Service, in.ID) {
		w.WriteHeader(http.StatusConflict)
	}
}

// shortFence leaves out the era of the store, which doesn't change.
func shortFence(fence uint64) string {
	return strconv.FormatUint(fence&(1<<44-1), 10)
}
