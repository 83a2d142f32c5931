package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

const (
	invalidAuthorisation refusal.Code = "28000"
	invalidPassword      refusal.Code = "28P01"
	protocolViolation    refusal.Code = "08P01"
)

func fatal(code refusal.Code, message string) *refusal.Error {
	return &refusal.Error{Code: code, Message: message, Detail: refusal.NotRunDetail, NotRun: true}
}

// errServed means that the connection asked for something else than a session.
var errServed = errors.New("connection is served")

// startUp logs the caller in and reports whether it may go on.
func (c *conn) startUp(ctx context.Context) bool {
	err := c.logIn(ctx)
	if err == nil {
		return true
	}
	if !errors.Is(err, errServed) {
		c.leave(err)
	}
	return false
}

func (c *conn) logIn(ctx context.Context) error {
	m, err := c.receiveStartup(ctx)
	if err != nil {
		return err
	}
	if refused := c.server.admit(c); refused != nil {
		return refused
	}
	parameters := maps.Clone(m.Parameters)
	minor := m.ProtocolVersion & 0xffff
	name, err := c.identify(parameters)
	if err != nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	if err := c.admit(name); err != nil {
		return err
	}
	if err := c.takeParameters(parameters); err != nil {
		return err
	}
	return c.welcome(minor, parameters)
}

// receiveStartup answers requests for encryption and for cancelling until the startup message comes.
func (c *conn) receiveStartup(ctx context.Context) (*pgproto3.StartupMessage, error) {
	encrypted := false
	for range maxStartupMessages {
		msg, err := c.back.ReceiveStartupMessage()
		if err != nil {
			return nil, fmt.Errorf("read startup: %w", err)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			if c.server.seams.RequireTLS && !encrypted {
				return nil, fatal(invalidAuthorisation, "tls is required")
			}
			return m, nil
		case *pgproto3.CancelRequest:
			c.server.cancel(ctx, m)
			return nil, errServed
		case *pgproto3.SSLRequest:
			on, err := c.encrypt(ctx, encrypted)
			if err != nil {
				return nil, err
			}
			encrypted = encrypted || on
		default:
			if err := c.answerByte('N'); err != nil {
				return nil, err
			}
		}
	}
	return nil, fatal(protocolViolation, "no startup message")
}

// maxStartupMessages bounds what a caller may ask before its startup message.
const maxStartupMessages = 4

func (c *conn) answerByte(b byte) error {
	if _, err := c.wire.Write([]byte{b}); err != nil {
		return errGone
	}
	return nil
}

// encrypt answers a request for TLS and reports whether it was granted.
func (c *conn) encrypt(ctx context.Context, encrypted bool) (bool, error) {
	var cfg *tls.Config
	if c.server.seams.TLS != nil && !encrypted {
		cfg = c.server.seams.TLS()
	}
	if cfg == nil {
		return false, c.answerByte('N')
	}
	if err := c.answerByte('S'); err != nil {
		return false, err
	}
	wrapped := tls.Server(c.wire, cfg)
	if err := wrapped.HandshakeContext(ctx); err != nil {
		return false, errGone
	}
	c.mu.Lock()
	c.wire = wrapped
	c.mu.Unlock()
	c.back = pgproto3.NewBackend(wrapped, wrapped)
	c.back.SetMaxBodyLen(c.server.cfg.MaxMessage)
	return true, nil
}

// identify reads who the caller is and which service it names.
func (c *conn) identify(parameters map[string]string) (service.Name, error) {
	c.user = User(parameters["user"])
	if c.user == "" {
		return "", fatal(invalidAuthorisation, "no user name in startup message")
	}
	if parameters["replication"] != "" {
		return "", unsupported("replication")
	}
	if parameters["options"] != "" {
		return "", unsupported("options at startup")
	}
	name := service.Name(parameters["database"])
	if name == "" {
		name = service.Name(c.user)
	}
	return name, nil
}

// admit checks that the caller may use the service.
func (c *conn) admit(name service.Name) error {
	allowed := c.server.seams.Allowed
	if allowed == nil {
		allowed = func(u User, n service.Name) bool { return string(u) == string(n) }
	}
	if !allowed(c.user, name) {
		return fatal(invalidAuthorisation, fmt.Sprintf("user %q may not use service %q", c.user, name))
	}
	s, ok := c.server.seams.Service(name)
	if !ok {
		return refusal.UnknownService(fmt.Sprintf("service %q is not published", name))
	}
	c.service = s
	c.session = session.New(s.Group, c.server.seams.Tokens)
	return nil
}

// ownParameters at startup are not set at targets.
var ownParameters = []string{"user", "database", "application_name", session.TokenParameter}

// takeParameters keeps what the startup message sets.
func (c *conn) takeParameters(parameters map[string]string) error {
	if text, ok := parameters[session.TokenParameter]; ok {
		if err := c.session.Accept(text); err != nil {
			return fatal(invalidAuthorisation, err.Error())
		}
	}
	for name, value := range parameters {
		if slices.Contains(ownParameters, name) || strings.HasPrefix(name, "_pq_.") {
			continue
		}
		if name == "client_encoding" && isUTF8(value) {
			continue
		}
		if !plainName(name) {
			return fatal(protocolViolation, "parameter name in startup message")
		}
		c.session.Settings().Set(name, "SET "+name+" = "+quote(value))
	}
	return nil
}

func isUTF8(value string) bool {
	v := strings.ToLower(strings.Trim(value, "'"))
	return v == "utf8" || v == "utf-8" || v == "unicode"
}

func plainName(name string) bool {
	for _, r := range name {
		if r != '_' && r != '.' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') {
			return false
		}
	}
	return name != ""
}

// quote writes a literal that reads the same whatever standard_conforming_strings says.
func quote(value string) string {
	value = strings.ReplaceAll(value, "'", "''")
	if !strings.Contains(value, `\`) {
		return "'" + value + "'"
	}
	return "E'" + strings.ReplaceAll(value, `\`, `\\`) + "'"
}

// defaultParameters are reported at login where nothing else is known.
var defaultParameters = map[string]string{
	"server_version":              "16.0",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"IntervalStyle":               "postgres",
	"TimeZone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
}

// welcome tells the caller that it is logged in.
func (c *conn) welcome(minor uint32, asked map[string]string) error {
	values := maps.Clone(defaultParameters)
	if c.server.seams.Parameters != nil {
		maps.Copy(values, c.server.seams.Parameters(c.service.Name))
	}
	values["application_name"] = asked["application_name"]
	c.application = asked["application_name"]
	c.answer.reset()
	if minor > 0 {
		c.answer.add(&pgproto3.NegotiateProtocolVersion{})
	}
	c.answer.add(&pgproto3.AuthenticationOk{})
	for _, name := range slices.Sorted(maps.Keys(values)) {
		c.answer.add(&pgproto3.ParameterStatus{Name: name, Value: values[name]})
	}
	c.answer.add(c.key.message())
	c.answer.add(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.forward()
}

const scramMechanism = "SCRAM-SHA-256"

// authenticate checks the caller's password by SCRAM.
func (c *conn) authenticate() error {
	lookup := c.server.seams.Credentials
	if lookup == nil {
		return nil
	}
	// Callers leave the name empty in the exchange: the startup message's counts.
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return lookup(c.user) })
	if err != nil {
		return fmt.Errorf("start scram: %w", err)
	}
	talk := server.NewConversation()
	first, err := c.askSASL(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	challenge, err := talk.Step(first)
	if err != nil {
		return c.wrongPassword()
	}
	second, err := c.askSASL(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	proof, err := talk.Step(second)
	if err != nil || !talk.Valid() {
		return c.wrongPassword()
	}
	c.answer.reset()
	c.answer.add(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return c.forward()
}

func (c *conn) wrongPassword() error {
	return fatal(invalidPassword, fmt.Sprintf("password authentication failed for user %q", c.user))
}

// askSASL sends a message of the SASL exchange and returns the caller's data.
func (c *conn) askSASL(msg pgproto3.BackendMessage, kind uint32) (string, error) {
	c.answer.reset()
	c.answer.add(msg)
	if err := c.forward(); err != nil {
		return "", err
	}
	if err := c.back.SetAuthType(kind); err != nil {
		return "", fmt.Errorf("sasl: %w", err)
	}
	got, err := c.back.Receive()
	if err != nil {
		return "", fmt.Errorf("read sasl: %w", err)
	}
	switch m := got.(type) {
	case *pgproto3.SASLInitialResponse:
		if m.AuthMechanism != scramMechanism {
			return "", fatal(invalidAuthorisation, "unknown sasl mechanism")
		}
		return string(m.Data), nil
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	default:
		return "", fatal(protocolViolation, fmt.Sprintf("unexpected %T in sasl", got))
	}
}
