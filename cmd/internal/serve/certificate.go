package serve

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// certificateCheck is the least time between two looks at the files of a certificate. Handshakes
// look, so that a process without callers does nothing.
const certificateCheck = 10 * time.Second

// certificate is a certificate and its key that follow their files, so that a platform which renews
// certificates need not restart the instances, which would end all sessions.
type certificate struct {
	certFile, keyFile string // PEM
	log               logrus.FieldLogger
	now               func() time.Time

	mu      sync.Mutex
	pair    *tls.Certificate
	read    fileStamps // of the files when pair, or what failed in its place, was read
	checked time.Time
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
	c.read = c.stamps()
	c.checked = c.now()
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	c.pair = &pair
	return c, nil
}

func (c *certificate) stamps() fileStamps {
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
	if now.Sub(c.checked) < certificateCheck {
		return c.pair
	}
	c.checked = now
	stamps := c.stamps()
	if stamps == c.read {
		return c.pair
	}
	c.read = stamps
	c.replace()
	return c.pair
}

func (c *certificate) replace() {
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

// forServer implements tls.Config.GetCertificate.
func (c *certificate) forServer(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// forClient implements tls.Config.GetClientCertificate.
func (c *certificate) forClient(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current(), nil
}
