// Package serve holds the serve command of the daemon.
package serve

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/proxy/engine"
)

// settings holds the values of the command's flags.
type settings struct {
	config daemon.Config

	tlsCert, tlsKey           string
	peerCert, peerKey, peerCA string
	passwordFile              string
	logLevel, logFormat       string
}

const help = `serve runs one instance of the proxy until SIGTERM or SIGINT, then drains: it cuts no
request in flight. Settings are flags; each has the environment variable given in brackets.`

// New returns the serve command.
func New() *cobra.Command {
	s := &settings{}
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one instance of the proxy",
		Long:  help,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return s.run(cmd) },
	}
	flags := cmd.Flags()
	config := &s.config
	flags.StringVar(&config.InstanceID, "instance-id", "", "name of this instance in the platform's list")
	flags.StringVar(&config.Region, "region", "", "region of this instance")
	flags.StringVar(&config.FailureDomain, "failure-domain", "", "failure domain of this instance")
	flags.StringVar(&config.Listen, "listen", "127.0.0.1:6432", "IP:port for callers")
	flags.StringVar(&config.PeerListen, "peer-listen", "127.0.0.1:6433", "IP:port for other instances, as in the platform's instance list")
	flags.StringVar(&config.OpsListen, "ops-listen", "127.0.0.1:6434", "IP:port for metrics, health and readiness")
	flags.StringVar(&config.StoreURL, "store", "", "address of the platform's store, such as http://127.0.0.1:7000")
	flags.BoolVar(&config.AllowPlain, "allow-plain", false, "accept callers without TLS; their keys cross the network in clear text")
	flags.StringVar(&s.tlsCert, "tls-cert", "", "PEM file with the certificate shown to callers; read again when it is replaced")
	flags.StringVar(&s.tlsKey, "tls-key", "", "PEM file with its private key")
	flags.StringVar(&s.peerCert, "peer-tls-cert", "", "PEM file with the certificate shown to other instances; read again when it is replaced")
	flags.StringVar(&s.peerKey, "peer-tls-key", "", "PEM file with its private key")
	flags.StringVar(&s.peerCA, "peer-tls-ca", "", "PEM file with the authority that signed all instances' certificates")
	flags.StringVar(&config.UpstreamUser, "upstream-user", "cyclamenstile", "user of the proxy at the database servers")
	flags.StringVar(&s.passwordFile, "upstream-password-file", "", "file with the password of that user; empty if the servers trust the proxy")
	flags.DurationVar(&config.DrainTimeout, "drain-timeout", daemon.DefaultDrainTimeout, "time for open transactions at a planned stop")
	flags.IntVar(&config.MaxMessageBytes, "max-message-bytes", daemon.DefaultMaxMessageBytes, "largest message of a caller in bytes")
	flags.IntVar(&config.MaxStartups, "max-startups", engine.DefaultMaxStartups(), "callers that may be connecting at the same time; further ones are refused at once; the default is 256 per processor")
	flags.IntVar(&config.MaxHandshakes, "max-handshakes", engine.DefaultMaxHandshakes(), "TLS handshakes with callers that may compute at the same time; the default is half of the processors")
	flags.DurationVar(&config.ListPoll, "list-poll", daemon.DefaultListPoll, "period of reading the platform's instance list")
	flags.Float64Var(&config.ObjectiveAvailability, "objective-availability", daemon.DefaultObjectiveAvailability, "service-level objective: percentage of statements that are answered in time; the same on all instances")
	flags.DurationVar(&config.ObjectiveLatency, "objective-latency", daemon.DefaultObjectiveLatency, "service-level objective: time within which a statement is to be answered; the same on all instances")
	flags.StringVar(&s.logLevel, "log-level", "info", "debug, info, warning or error")
	flags.StringVar(&s.logFormat, "log-format", "json", "json or text")
	flagenv.Describe(cmd)
	return cmd
}

// run checks all settings before it starts the instance, so that every fault is reported at once.
func (s *settings) run(cmd *cobra.Command) error {
	if err := errors.Join(flagenv.Apply(cmd.Flags()), s.load()); err != nil {
		return err
	}
	d, err := daemon.New(s.config)
	if err != nil {
		return runtimeError{err}
	}
	if err := d.Run(cmd.Context()); err != nil {
		return runtimeError{err}
	}
	return nil
}

// load reads the files named in the settings and reports all faults at once. The settings are
// validated before the daemon replaces zeros by defaults, since an explicit zero is a fault.
func (s *settings) load() error {
	return errors.Join(s.loadLog(), s.loadPassword(), s.loadCallerTLS(), s.loadPeerTLS(), s.config.Validate())
}

func (s *settings) loadLog() error {
	var faults []error
	log := logrus.New()
	log.SetOutput(os.Stderr)
	level, err := logrus.ParseLevel(s.logLevel)
	if err != nil {
		faults = append(faults, errors.Newf("--log-level: %q is not a level; use debug, info, warning or error", s.logLevel))
	}
	log.SetLevel(level)
	switch s.logFormat {
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	case "text":
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	default:
		faults = append(faults, errors.Newf("--log-format: %q is not a format; use json or text", s.logFormat))
	}
	s.config.Log = log
	return errors.Join(faults...)
}

func (s *settings) loadPassword() error {
	if s.passwordFile == "" {
		return nil
	}
	b, err := os.ReadFile(s.passwordFile)
	if err != nil {
		return errors.Wrap(err, "--upstream-password-file: can't be read; check the path and its permissions")
	}
	s.config.UpstreamPassword = strings.TrimRight(string(b), "\r\n")
	return nil
}

func (s *settings) loadCallerTLS() error {
	if s.tlsCert == "" && s.tlsKey == "" {
		return nil
	}
	// Set even if loading fails; otherwise Validate would report the same file again as missing TLS.
	s.config.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
	cert, err := newCertificate(s.tlsCert, s.tlsKey, s.config.Log)
	if err != nil {
		return errors.Wrap(err, "--tls-cert, --tls-key: can't be used; give PEM files of a certificate and its key")
	}
	s.config.TLS.GetCertificate = cert.getCertificate
	return nil
}

// loadPeerTLS configures mutual TLS between instances.
func (s *settings) loadPeerTLS() error {
	if s.peerCert == "" && s.peerKey == "" && s.peerCA == "" {
		return nil
	}
	cert, err := newCertificate(s.peerCert, s.peerKey, s.config.Log)
	if err != nil {
		return errors.Wrap(err, "--peer-tls-cert, --peer-tls-key: can't be used; give PEM files of a certificate and its key")
	}
	pem, err := os.ReadFile(s.peerCA)
	if err != nil {
		return errors.Wrap(err, "--peer-tls-ca: can't be read; give the PEM file of the signing authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return errors.New("--peer-tls-ca: holds no certificate; give the PEM file of the signing authority")
	}
	s.config.PeerServer = &tls.Config{
		GetCertificate: cert.getCertificate,
		ClientCAs:      authorities,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		MinVersion:     tls.VersionTLS13,
	}
	s.config.PeerClient = &tls.Config{
		GetClientCertificate: cert.getClientCertificate,
		RootCAs:              authorities,
		MinVersion:           tls.VersionTLS13,
	}
	return nil
}
