package target

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
)

// SQLSTATE codes, severities and messages of error responses, and result codes of SQLite.
const (
	codeActiveTransaction   = "25001"
	codeReadOnly            = "25006"
	codeFailedTransaction   = "25P02"
	codeNotNull             = "23502"
	codeForeignKey          = "23503"
	codeUnique              = "23505"
	codeCheck               = "23514"
	codeInvalidStatement    = "26000"
	codeInvalidPortal       = "34000"
	codeSyntax              = "42601"
	codeUndefinedColumn     = "42703"
	codeUndefinedTable      = "42P01"
	codeDuplicateTable      = "42P07"
	codeTooManyConnections  = "53300"
	codeLockNotAvailable    = "55P03"
	codeCancelled           = "57014"
	codeShutdown            = "57P01"
	codeIdleSession         = "57P05"
	codeProtocol            = "08P01"
	codeInvalidText         = "22P02"
	codeInvalidBinary       = "22P03"
	codeNotSupported        = "0A000"
	codeInternal            = "XX000"
	severityError           = "ERROR"
	severityFatal           = "FATAL"
	sqliteError             = 1
	sqliteInterrupted       = 9
	sqliteCheck             = 275
	sqliteForeignKey        = 787
	sqliteNotNull           = 1299
	sqlitePrimaryKey        = 1555
	sqliteUnique            = 2067
	sqliteRowID             = 2579
	noFreeSlot              = "no free slot"
	tooManyConnections      = "sorry, too many clients already"
	cannotWriteOnReplica    = "cannot execute the statement in a read-only transaction"
	cancelledByRequest      = "canceling statement due to user request"
	endedByIdleTimeout      = "terminating connection due to idle-session timeout"
	endedByChangeOfRole     = "terminating connection due to administrator command"
	transactionIsAborted    = "current transaction is aborted, commands ignored until end of transaction block"
	lockWaitedTooLong       = "canceling statement due to lock timeout"
	alterSystemInBlock      = "ALTER SYSTEM cannot run inside a transaction block"
	severalCommandsPrepared = "cannot insert multiple commands into a prepared statement"
)

// sqlError is an error with a SQLSTATE; a fatal one ends the session.
type sqlError struct {
	code    string
	message string
	fatal   bool
}

func (e *sqlError) Error() string { return e.message + " (" + e.code + ")" }

func (e *sqlError) response() *pgproto3.ErrorResponse {
	severity := severityError
	if e.fatal {
		severity = severityFatal
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	}
}

func fail(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

func fatal(code, message string) *sqlError {
	return &sqlError{code: code, message: message, fatal: true}
}

// codesOfConstraints maps the result codes of SQLite for violated constraints to SQLSTATEs.
var codesOfConstraints = map[int]string{
	sqliteCheck:      codeCheck,
	sqliteForeignKey: codeForeignKey,
	sqliteNotNull:    codeNotNull,
	sqlitePrimaryKey: codeUnique,
	sqliteUnique:     codeUnique,
	sqliteRowID:      codeUnique,
}

// codesOfTexts maps parts of SQLite's messages to SQLSTATEs, for errors with the generic result code.
var codesOfTexts = []struct{ text, code string }{
	{"no such table", codeUndefinedTable},
	{"no such column", codeUndefinedColumn},
	{"has no column", codeUndefinedColumn},
	{"already exists", codeDuplicateTable},
	{"syntax error", codeSyntax},
	{"incomplete input", codeSyntax},
	{"unrecogni", codeSyntax},
}

// asSQLError converts any error of a statement to a sqlError; a cancelled context becomes a cancel request.
func asSQLError(err error) *sqlError {
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		return sqlErr
	}
	if errors.Is(err, context.Canceled) {
		return fail(codeCancelled, cancelledByRequest)
	}
	var sqliteErr *sqlite.Error
	if !errors.As(err, &sqliteErr) {
		return fail(codeInternal, "%s", err)
	}
	return fail(codeOf(sqliteErr), "%s", sqliteErr)
}

func codeOf(err *sqlite.Error) string {
	if code, ok := codesOfConstraints[err.Code()]; ok {
		return code
	}
	switch err.Code() {
	case sqliteInterrupted:
		return codeCancelled
	case sqliteError:
		for _, c := range codesOfTexts {
			if strings.Contains(err.Error(), c.text) {
				return c.code
			}
		}
	}
	return codeInternal
}
