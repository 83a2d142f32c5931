package target

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// ServerError is an ErrorResponse from the target.
type ServerError struct {
	Severity string
	Code     string
	Message  string
}

// Error returns the SQLSTATE and message of the target's error.
func (e *ServerError) Error() string {
	return fmt.Sprintf("target returned error %s: %s", e.Code, e.Message)
}

func serverError(m *pgproto3.ErrorResponse) *ServerError {
	return &ServerError{Severity: m.Severity, Code: m.Code, Message: m.Message}
}

const scramMechanism = "SCRAM-SHA-256"

// logIn sends the startup message and authenticates until the target is ready for queries.
func (c *Conn) logIn() error {
	c.pendingReady = 1
	c.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             c.address.User,
			"database":         c.address.Database,
			"application_name": "cactusfork",
		},
	})
	if err := c.Flush(); err != nil {
		return err
	}
	for {
		msg, err := c.Receive()
		if err != nil {
			return err
		}
		done, err := c.handleLoginMessage(msg)
		if err != nil || done {
			return err
		}
	}
}

// handleLoginMessage processes one message of the login and reports whether the login is complete.
func (c *Conn) handleLoginMessage(msg pgproto3.BackendMessage) (bool, error) {
	switch m := msg.(type) {
	case *pgproto3.AuthenticationOk, *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		return false, nil
	case *pgproto3.AuthenticationCleartextPassword:
		c.Send(&pgproto3.PasswordMessage{Password: c.address.Password})
		return false, c.Flush()
	case *pgproto3.AuthenticationSASL:
		return false, c.authenticateSCRAM(m.AuthMechanisms)
	case *pgproto3.BackendKeyData:
		c.cancelKey.ProcessID = m.ProcessID
		c.cancelKey.SecretKey = append([]byte(nil), m.SecretKey...)
		return false, nil
	case *pgproto3.ReadyForQuery:
		return true, nil
	case *pgproto3.ErrorResponse:
		return false, serverError(m)
	default:
		return false, fmt.Errorf("unexpected message %T during login", msg)
	}
}

func (c *Conn) authenticateSCRAM(mechanisms []string) error {
	if !contains(mechanisms, scramMechanism) {
		return errors.New("target does not offer SASL mechanism " + scramMechanism)
	}
	client, err := scram.SHA256.NewClient(c.address.User, c.address.Password, "")
	if err != nil {
		return fmt.Errorf("prepare SCRAM credentials: %w", err)
	}
	conversation := client.NewConversation()
	clientFirst, err := conversation.Step("")
	if err != nil {
		return fmt.Errorf("SCRAM client-first message: %w", err)
	}
	c.Send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(clientFirst)})
	serverFirst, err := c.receiveSCRAM()
	if err != nil {
		return err
	}
	clientFinal, err := conversation.Step(serverFirst)
	if err != nil {
		return fmt.Errorf("SCRAM server-first message: %w", err)
	}
	c.Send(&pgproto3.SASLResponse{Data: []byte(clientFinal)})
	serverFinal, err := c.receiveSCRAM()
	if err != nil {
		return err
	}
	if _, err := conversation.Step(serverFinal); err != nil {
		return fmt.Errorf("verify SCRAM server-final message: %w", err)
	}
	return nil
}

// receiveSCRAM flushes and returns the server's next SCRAM message.
func (c *Conn) receiveSCRAM() (string, error) {
	if err := c.Flush(); err != nil {
		return "", err
	}
	msg, err := c.Receive()
	if err != nil {
		return "", err
	}
	switch m := msg.(type) {
	case *pgproto3.AuthenticationSASLContinue:
		return string(m.Data), nil
	case *pgproto3.AuthenticationSASLFinal:
		return string(m.Data), nil
	case *pgproto3.ErrorResponse:
		return "", serverError(m)
	default:
		return "", fmt.Errorf("unexpected message %T during SCRAM authentication", msg)
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
