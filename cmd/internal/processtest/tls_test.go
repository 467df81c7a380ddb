package processtest

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cyclamenstile/cyclamenstile/decision/history"
	"github.com/cyclamenstile/cyclamenstile/proxy/peer"
	"github.com/cyclamenstile/cyclamenstile/proxy/selfsigned"
)

// makeCertificate writes one certificate that all processes use and trust.
func (d *deployment) makeCertificate() {
	d.t.Helper()
	pair, err := selfsigned.New()
	if err != nil {
		d.t.Fatal(err)
	}
	cert, key := filepath.Join(d.dir, "cert.pem"), filepath.Join(d.dir, "key.pem")
	for name, content := range map[string][]byte{cert: pair.Certificate, key: pair.Key} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			d.t.Fatal(err)
		}
	}
	d.callerTLS = &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "127.0.0.1"}
	d.callerTLS.RootCAs.AppendCertsFromPEM(pair.Certificate)
	d.tlsFlags = []string{
		"--tls-cert", cert, "--tls-key", key,
		"--peer-tls-cert", cert, "--peer-tls-key", key, "--peer-tls-ca", cert,
	}
}

// Guards against released binaries that don't serve callers over TLS, whose instances can't connect to each
// other over TLS, that accept a key in clear text, or that accept a peer with an unknown certificate.
func TestTLS(t *testing.T) {
	d := deploy(t, setup{tls: true, crews: history.Limit{Rate: 1000, Burst: 1000}})
	for i := range d.instances {
		waitFor(t, "peer of "+d.instances[i].id, func() bool { return d.hasLogged(i, peer.EventPeerReachable) })
	}
	for n := range 20 {
		conn := d.mustConnect(n%2, crews)
		if _, err := conn.Exec(t.Context(), upsert, fmt.Sprint("key", n), "1"); err != nil {
			t.Fatalf("write through %s: %v", d.instances[n%2].id, err)
		}
		var value string
		other := d.mustConnect((n+1)%2, marshals)
		err := other.QueryRow(t.Context(), "SELECT value FROM kv WHERE key = $1", fmt.Sprint("key", n)).Scan(&value)
		if err != nil || value != "1" {
			t.Fatalf("read through the other instance: %q, %v", value, err)
		}
	}
	trust := d.callerTLS
	d.callerTLS = nil
	_, err := d.connect(t.Context(), 0, crews)
	var refusal *pgconn.PgError
	if !errors.As(err, &refusal) {
		t.Errorf("connection in clear text: error %v, want a refusal by the instance", err)
	}
	unknown, err := selfsigned.New()
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := tls.X509KeyPair(unknown.Certificate, unknown.Key)
	if err != nil {
		t.Fatal(err)
	}
	d.checkPeerRefused(&tls.Config{RootCAs: trust.RootCAs, ServerName: "127.0.0.1", Certificates: []tls.Certificate{certificate}})
}

// hasLogged reports whether instance i has logged an event.
func (d *deployment) hasLogged(i int, event string) bool {
	d.t.Helper()
	log, err := os.ReadFile(filepath.Join(d.dir, d.instances[i].id+".log"))
	if err != nil {
		d.t.Fatal(err)
	}
	return bytes.Contains(log, []byte(`"event":"`+event+`"`))
}

// checkPeerRefused fails the test if the peer port of an instance accepts a connection with config. In
// TLS 1.3 the refusal of a client's certificate is reported at the first read.
func (d *deployment) checkPeerRefused(config *tls.Config) {
	d.t.Helper()
	conn, err := tls.Dial("tcp", d.instances[0].peer, config)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(eventTimeout))
	if _, err = conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		d.t.Errorf("peer port keeps a connection with an unknown certificate: read error %v", err)
	}
}
