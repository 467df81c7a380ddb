package serve

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// certificateCheckInterval is the minimum time between two checks of a certificate's files. The checks are
// made during handshakes, so that a process without callers does nothing.
const certificateCheckInterval = 10 * time.Second

// certificate is a key pair that is reloaded when its files change, so that a platform can renew
// certificates without restarting the instances, which would end all sessions.
type certificate struct {
	certFile, keyFile string // PEM
	log               logrus.FieldLogger
	now               func() time.Time

	mu           sync.Mutex
	pair         *tls.Certificate
	loadedStamps fileStamps // at the last attempt to load the files, successful or not
	lastChecked  time.Time
}

// fileStamps identifies a version of both files, to detect their replacement.
type fileStamps struct {
	cert, key fileStamp
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// newCertificate loads the files. Callers add the flags and a remedy to its error.
func newCertificate(certFile, keyFile string, log logrus.FieldLogger) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile, log: log, now: time.Now}
	c.loadedStamps = c.currentStamps()
	c.lastChecked = c.now()
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	c.pair = &pair
	return c, nil
}

func (c *certificate) currentStamps() fileStamps {
	return fileStamps{stampOf(c.certFile), stampOf(c.keyFile)}
}

// stampOf returns the zero value if stat fails.
func stampOf(name string) fileStamp {
	info, err := os.Stat(name)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// current returns the certificate and reloads it first if its files were replaced. The last usable one
// stays in use while the certificate and the key don't match, as in the middle of a replacement.
func (c *certificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.lastChecked) < certificateCheckInterval {
		return c.pair
	}
	c.lastChecked = now
	stamps := c.currentStamps()
	if stamps == c.loadedStamps {
		return c.pair
	}
	c.loadedStamps = stamps
	c.reload()
	return c.pair
}

func (c *certificate) reload() {
	log := c.log.WithField("file", c.certFile)
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		log.WithField("event", EventCertificateUnusable).WithError(err).
			Error("replaced certificate can't be loaded; the previous one stays in use")
		return
	}
	c.pair = &pair
	log.WithField("event", EventCertificateRead).Info("replaced certificate loaded")
}

// getCertificate implements tls.Config.GetCertificate.
func (c *certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// getClientCertificate implements tls.Config.GetClientCertificate.
func (c *certificate) getClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current(), nil
}
