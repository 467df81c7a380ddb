package serve

import (
	"bytes"
	"encoding/pem"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/cyclamenstile/cyclamenstile/proxy/selfsigned"
)

// Guards against an instance that presents an expired certificate until it is restarted, and against
// one that refuses all callers because a replacement was incomplete or invalid.
func TestCertificateFollowsFiles(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	write := func(name string, content []byte) {
		t.Helper()
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, second := newPair(t), newPair(t)
	write(cert, first.Certificate)
	write(key, first.Key)
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	c, err := newCertificate(cert, key, log)
	if err != nil {
		t.Fatal(err)
	}
	now := c.lastChecked
	c.now = func() time.Time { return now }
	expect := func(when string, want selfsigned.Pair, event string) {
		t.Helper()
		block, _ := pem.Decode(want.Certificate)
		if !bytes.Equal(c.current().Certificate[0], block.Bytes) {
			t.Errorf("%s: certificate in use is not the expected one", when)
		}
		logged := ""
		if e := hook.LastEntry(); e != nil {
			logged, _ = e.Data["event"].(string)
		}
		if logged != event {
			t.Errorf("%s: event %q, want %q", when, logged, event)
		}
		hook.Reset()
	}
	expect("unchanged", first, "")
	write(cert, append([]byte("\n"), second.Certificate...))
	expect("before the next check", first, "")
	now = now.Add(certificateCheckInterval)
	expect("certificate without its key", first, EventCertificateUnusable)
	now = now.Add(certificateCheckInterval)
	expect("still without its key", first, "")
	write(key, append([]byte("\n"), second.Key...))
	now = now.Add(certificateCheckInterval)
	expect("both replaced", second, EventCertificateRead)
	if err := os.Remove(cert); err != nil {
		t.Fatal(err)
	}
	now = now.Add(certificateCheckInterval)
	expect("removed", second, EventCertificateUnusable)
}

func newPair(t *testing.T) selfsigned.Pair {
	t.Helper()
	pair, err := selfsigned.New()
	if err != nil {
		t.Fatal(err)
	}
	return pair
}
