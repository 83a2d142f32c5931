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

// startupError returns a refusal of a login.
func startupError(code refusal.Code, message string) *refusal.Error {
	return &refusal.Error{Code: code, Message: message, Detail: refusal.NotRunDetail, NotRun: true}
}

// errNoSession means that the connection carried a cancel request, which is complete, instead of a startup message.
var errNoSession = errors.New("connection carried a cancel request")

// startUp logs the caller in and reports whether the session may begin; on failure it tells the caller why.
func (c *conn) startUp(ctx context.Context) bool {
	err := c.logIn(ctx)
	if err == nil {
		return true
	}
	if !errors.Is(err, errNoSession) {
		c.sendCloseReason(err)
	}
	return false
}

// logIn runs the startup phase: TLS, authentication, authorisation and the parameters of the startup message.
func (c *conn) logIn(ctx context.Context) error {
	m, err := c.receiveStartup(ctx)
	if err != nil {
		return err
	}
	if refused := c.server.addSession(c); refused != nil {
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
	if err := c.authorise(name); err != nil {
		return err
	}
	if err := c.applyParameters(parameters); err != nil {
		return err
	}
	c.backend.SetMaxBodyLen(c.server.cfg.MaxMessageBytes)
	return c.completeLogin(minor, parameters)
}

// receiveStartup handles encryption requests until the startup message arrives; it returns errNoSession after a cancel request.
func (c *conn) receiveStartup(ctx context.Context) (*pgproto3.StartupMessage, error) {
	encrypted := false
	for range maxStartupMessages {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, fmt.Errorf("read startup message: %w", err)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			if c.server.deps.RequireTLS && !encrypted {
				return nil, startupError(invalidAuthorisation, "tls is required")
			}
			return m, nil
		case *pgproto3.CancelRequest:
			c.server.handleCancel(ctx, m)
			return nil, errNoSession
		case *pgproto3.SSLRequest:
			granted, err := c.startTLS(ctx, encrypted)
			if err != nil {
				return nil, err
			}
			encrypted = encrypted || granted
		default:
			if err := c.sendByte('N'); err != nil {
				return nil, err
			}
		}
	}
	return nil, startupError(protocolViolation, "no startup message")
}

// maxStartupMessages is the number of messages in which the startup message has to arrive; encryption requests may precede it.
const maxStartupMessages = 4

func (c *conn) sendByte(b byte) error {
	if _, err := c.netConn.Write([]byte{b}); err != nil {
		return errCallerGone
	}
	return nil
}

// startTLS replies to a TLS request and reports whether the connection is now encrypted. It declines if TLS is not configured or already active.
func (c *conn) startTLS(ctx context.Context, encrypted bool) (bool, error) {
	var cfg *tls.Config
	if c.server.deps.TLS != nil && !encrypted {
		cfg = c.server.deps.TLS()
	}
	if cfg == nil {
		return false, c.sendByte('N')
	}
	if err := c.sendByte('S'); err != nil {
		return false, err
	}
	tlsConn := tls.Server(c.netConn, cfg)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return false, errCallerGone
	}
	c.mu.Lock()
	c.netConn = tlsConn
	c.mu.Unlock()
	c.backend = c.newBackend(tlsConn)
	return true, nil
}

// identify sets the user and returns the service that the startup message names as its database; the user name is the default. It refuses the parameters replication and options.
func (c *conn) identify(parameters map[string]string) (service.Name, error) {
	c.user = User(parameters["user"])
	if c.user == "" {
		return "", startupError(invalidAuthorisation, "no user name in startup message")
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

// authorise checks that the user may use the service and that the service is published, and starts the session.
func (c *conn) authorise(name service.Name) error {
	allowed := c.server.deps.Allowed
	if allowed == nil {
		allowed = func(u User, n service.Name) bool { return string(u) == string(n) }
	}
	if !allowed(c.user, name) {
		return startupError(invalidAuthorisation, fmt.Sprintf("user %q may not use service %q", c.user, name))
	}
	s, ok := c.server.deps.Service(name)
	if !ok {
		return refusal.UnknownService(fmt.Sprintf("service %q is not published", name))
	}
	c.service = s
	c.session = session.New(s.Group, c.server.deps.Tokens)
	return nil
}

// proxyParameters are the startup parameters that the proxy handles itself and does not set at targets.
var proxyParameters = []string{"user", "database", "application_name", session.TokenParameter}

// applyParameters accepts the token of the startup message and records its other parameters as settings of the session.
func (c *conn) applyParameters(parameters map[string]string) error {
	if text, ok := parameters[session.TokenParameter]; ok {
		if err := c.session.AcceptToken(text); err != nil {
			return startupError(invalidAuthorisation, err.Error())
		}
	}
	for name, value := range parameters {
		if slices.Contains(proxyParameters, name) || strings.HasPrefix(name, "_pq_.") {
			continue
		}
		if name == "client_encoding" && isUTF8(value) {
			continue
		}
		if !isPlainName(name) {
			return startupError(protocolViolation, "parameter name in startup message")
		}
		c.session.Settings().Set(name, "SET "+name+" = "+quoteLiteral(value))
	}
	return nil
}

func isUTF8(value string) bool {
	v := strings.ToLower(strings.Trim(value, "'"))
	return v == "utf8" || v == "utf-8" || v == "unicode"
}

func isPlainName(name string) bool {
	for _, r := range name {
		if r != '_' && r != '.' && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') {
			return false
		}
	}
	return name != ""
}

// quoteLiteral returns an SQL string literal whose meaning does not depend on standard_conforming_strings.
func quoteLiteral(value string) string {
	value = strings.ReplaceAll(value, "'", "''")
	if !strings.Contains(value, `\`) {
		return "'" + value + "'"
	}
	return "E'" + strings.ReplaceAll(value, `\`, `\\`) + "'"
}

// defaultParameters are reported at login unless Dependencies.Parameters gives another value.
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

// completeLogin sends AuthenticationOk, the parameters, the cancel key and ReadyForQuery.
func (c *conn) completeLogin(minor uint32, requested map[string]string) error {
	values := maps.Clone(defaultParameters)
	if c.server.deps.Parameters != nil {
		maps.Copy(values, c.server.deps.Parameters(c.service.Name))
	}
	values["application_name"] = requested["application_name"]
	c.application = requested["application_name"]
	c.reply.reset()
	if minor > 0 {
		c.reply.add(&pgproto3.NegotiateProtocolVersion{})
	}
	c.reply.add(&pgproto3.AuthenticationOk{})
	for _, name := range slices.Sorted(maps.Keys(values)) {
		c.reply.add(&pgproto3.ParameterStatus{Name: name, Value: values[name]})
	}
	c.reply.add(c.key.message())
	c.reply.add(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.forward()
}

const scramMechanism = "SCRAM-SHA-256"

// authenticate verifies the caller's password by SCRAM, unless Dependencies.Credentials is nil.
func (c *conn) authenticate() error {
	lookup := c.server.deps.Credentials
	if lookup == nil {
		return nil
	}
	// PostgreSQL clients leave the user name empty in the SCRAM messages; the name of the startup message applies.
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return lookup(c.user) })
	if err != nil {
		return fmt.Errorf("start SCRAM server: %w", err)
	}
	conversation := server.NewConversation()
	clientFirst, err := c.exchangeSASL(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	serverFirst, err := conversation.Step(clientFirst)
	if err != nil {
		return c.wrongPassword()
	}
	clientFinal, err := c.exchangeSASL(&pgproto3.AuthenticationSASLContinue{Data: []byte(serverFirst)}, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	serverFinal, err := conversation.Step(clientFinal)
	if err != nil || !conversation.Valid() {
		return c.wrongPassword()
	}
	c.reply.reset()
	c.reply.add(&pgproto3.AuthenticationSASLFinal{Data: []byte(serverFinal)})
	return c.forward()
}

func (c *conn) wrongPassword() error {
	return startupError(invalidPassword, fmt.Sprintf("password authentication failed for user %q", c.user))
}

// exchangeSASL sends a SASL message and returns the data of the caller's response.
func (c *conn) exchangeSASL(msg pgproto3.BackendMessage, kind uint32) (string, error) {
	c.reply.reset()
	c.reply.add(msg)
	if err := c.forward(); err != nil {
		return "", err
	}
	if err := c.backend.SetAuthType(kind); err != nil {
		return "", fmt.Errorf("set SASL message type: %w", err)
	}
	response, err := c.receive()
	if err != nil {
		return "", fmt.Errorf("read SASL response: %w", err)
	}
	switch m := response.(type) {
	case *pgproto3.SASLInitialResponse:
		if m.AuthMechanism != scramMechanism {
			return "", startupError(invalidAuthorisation, "unknown sasl mechanism")
		}
		return string(m.Data), nil
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	default:
		return "", startupError(protocolViolation, fmt.Sprintf("unexpected %T in sasl", response))
	}
}
