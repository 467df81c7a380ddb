package serve

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// certificateCheckInterval is the least time between two looks at the files of a certificate. Handshakes
// look, so that a process without callers does nothing.
const certificateCheckInterval = 10 * time.Second

// certificate is a certificate and its key that follow their files, so that a platform which renews
// certificates need not restart the instances, which would end all sessions.
type certificate struct {
	certFile, keyFile string // PEM
	log               logrus.FieldLogger
	now               func() time.Time

	mu           sync.Mutex
	pair         *tls.Certificate
	loadedStamps fileStamps // of the files when pair, or what failed in its place, was read
	lastChecked  time.Time
}

// fileStamps tell whether the files have been replaced since.
type fileStamps struct {
	cert, key fileStamp
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// newCertificate reads the files; its error names neither the flags nor a remedy.
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

// stampOf returns the zero value for a file that can't be looked at.
func stampOf(name string) fileStamp {
	info, err := os.Stat(name)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// current returns the certificate, read again if its files were replaced. The last usable one stays
// in use while the files don't fit together, as in the middle of a replacement.
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
			Error("replaced certificate can't be used; the one before stays in use")
		return
	}
	c.pair = &pair
	log.WithField("event", EventCertificateRead).Info("replaced certificate is in use")
}

// getCertificate implements tls.Config.GetCertificate.
func (c *certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// getClientCertificate implements tls.Config.GetClientCertificate.
func (c *certificate) getClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current(), nil
}
