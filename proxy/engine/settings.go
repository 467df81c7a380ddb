package engine

import (
	"strconv"
	"strings"

	"github.com/cyclamenstile/cyclamenstile/decision/outcome"
)

// tokenParameter is the parameter that carries the session token in both directions.
const tokenParameter = "cyclamenstile.session_token"

// startupParameters returns the parameters reported at start-up, as names and values.
func (s *Server) startupParameters(sess *session) [][2]string {
	return [][2]string{
		{"server_version", s.cfg.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"default_transaction_read_only", onOff(sess.isReadOnly())},
		{"in_hot_standby", "off"},
		{tokenParameter, sess.state.Token()},
	}
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// applyStartup applies the parameters of the start-up message.
func (s *session) applyStartup(parameters map[string]string) error {
	for name, value := range parameters {
		switch {
		case name == "user" || name == "database" || strings.HasPrefix(name, "_pq_."):
			continue
		case name == "options":
			if err := s.applyOptions(value); err != nil {
				return err
			}
			continue
		}
		if e := s.applySetting(name, value); e != nil {
			return e
		}
	}
	return nil
}

// applyOptions applies settings of the forms "-c name=value" and "--name=value".
func (s *session) applyOptions(options string) error {
	for _, field := range strings.Fields(options) {
		field = strings.TrimPrefix(field, "--")
		field = strings.TrimPrefix(field, "-c")
		if field == "" {
			continue
		}
		name, value, found := strings.Cut(field, "=")
		if !found {
			return invalid(codeInvalidParameter, "the option "+strconv.Quote(field)+" is malformed",
				"write options as -c name=value")
		}
		if e := s.applySetting(name, value); e != nil {
			return e
		}
	}
	return nil
}

// applySetting applies one setting of the session. Settings are never sent to a server, because its
// connections are shared.
func (s *session) applySetting(name, value string) *outcome.Error {
	switch strings.ToLower(name) {
	case tokenParameter:
		return s.acceptToken(value)
	case "default_transaction_read_only":
		return s.setReadOnly(value)
	case "application_name":
		return nil
	case "client_encoding":
		return requireOneOf(name, value, "UTF8", "utf8", "utf-8", "unicode")
	case "datestyle":
		return requireISO(value)
	case "timezone":
		return requireOneOf(name, value, "UTC", "utc", "etc/utc", "gmt")
	case "intervalstyle":
		return requireOneOf(name, value, "postgres", "postgres")
	case "standard_conforming_strings":
		return requireOneOf(name, value, "on", "on", "true", "1")
	case "extra_float_digits":
		return requireOneOf(name, value, "1, 2 or 3", "1", "2", "3")
	case "bytea_output":
		return requireOneOf(name, value, "hex", "hex")
	}
	return invalid(codeCantChangeParameter,
		"the session setting "+strconv.Quote(name)+" can't be changed, because connections are shared",
		"use SET LOCAL inside a transaction, or leave the setting out")
}

func (s *session) acceptToken(value string) *outcome.Error {
	if err := s.state.AcceptToken(value); err != nil {
		return asOutcome(err)
	}
	return nil
}

func (s *session) setReadOnly(value string) *outcome.Error {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		s.readOnly = true
	case "off", "false", "no", "0":
		s.readOnly = false
	default:
		return invalid(codeInvalidParameter, "default_transaction_read_only is not a boolean", "use on or off")
	}
	return nil
}

// resetSetting returns a setting to its initial value. An accepted token can't be revoked.
func (s *session) resetSetting(name string) {
	if name == "default_transaction_read_only" || name == "all" {
		s.readOnly = false
	}
}

func requireISO(value string) *outcome.Error {
	if strings.HasPrefix(strings.ToLower(value), "iso") {
		return nil
	}
	return errUnsupportedValue("DateStyle", value, "ISO")
}

func requireOneOf(name, value, remedy string, accepted ...string) *outcome.Error {
	v := strings.ToLower(value)
	for _, a := range accepted {
		if v == a {
			return nil
		}
	}
	return errUnsupportedValue(name, value, remedy)
}

func errUnsupportedValue(name, value, accepted string) *outcome.Error {
	return invalid(codeInvalidParameter,
		strconv.Quote(value)+" is not supported for the setting "+name, "use "+accepted)
}
