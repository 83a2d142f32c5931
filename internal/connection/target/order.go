package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// OutrankedError means that the target has promised a higher term, or the same term to another holder.
type OutrankedError struct {
	Promise position.Term
	Holder  group.DaemonID
}

// Error returns the promised term and its holder.
func (e *OutrankedError) Error() string {
	return fmt.Sprintf("order outranked: target has promised term %d to %s", e.Promise, e.Holder)
}

// ErrLocked means that another session holds the target's order lock.
var ErrLocked = errors.New("target is locked by another order")

// Order executes an order under the target's lock and returns the target's status afterwards. It returns an *OutrankedError if the promise forbids the order and ErrLocked if the lock is held. It closes the connection, since the idle timeout of the lock stays set on it.
func (c *Conn) Order(ctx context.Context, o group.Order) (group.Status, error) {
	defer c.Close()
	defer c.BindContext(ctx)()
	statements, err := orderStatements(o)
	if err != nil {
		return group.Status{}, err
	}
	return c.executeOrder(o, statements)
}

// executeOrder compares the order with the promise and sends the statements, all under the lock.
func (c *Conn) executeOrder(o group.Order, statements []string) (group.Status, error) {
	locked, err := c.lock()
	if err != nil {
		return group.Status{}, err
	}
	if locked.rejects(o) {
		return locked.status, c.unlock(&OutrankedError{Promise: locked.status.Promise, Holder: locked.status.Holder})
	}
	if locked.mustStepDown(o) {
		stepDown, err := followStatement(o.Primary)
		if err != nil {
			return group.Status{}, err
		}
		statements = append([]string{stepDown, Reload}, statements...)
	}
	for _, sql := range statements {
		c.Send(&pgproto3.Query{String: sql})
	}
	c.Send(&pgproto3.Query{String: StatusQuery})
	c.Send(&pgproto3.Query{String: UnlockQuery})
	if err := c.Flush(); err != nil {
		return group.Status{}, err
	}
	for _, sql := range statements {
		if _, err := c.readReply(); err != nil {
			return group.Status{}, fmt.Errorf("order statement %q: %w", sql, err)
		}
	}
	return c.readOrderResult(o)
}

// readOrderResult reads the status and the unlock reply that follow an order's statements, and checks that the order is in force.
func (c *Conn) readOrderResult(o group.Order) (group.Status, error) {
	statusRow, err := c.readReply()
	if err != nil {
		return group.Status{}, fmt.Errorf("read status after order: %w", err)
	}
	s, err := parseStatus(statusRow)
	if err != nil {
		return group.Status{}, err
	}
	unlockRow, err := c.readReply()
	if err != nil {
		return group.Status{}, fmt.Errorf("release order lock: %w", err)
	}
	if len(unlockRow) != 1 || unlockRow[0] != "t" {
		return group.Status{}, fmt.Errorf("order lock was lost before unlock: %w", ErrMalformedReply)
	}
	if s.Promise != o.Term || s.Holder != o.Holder {
		return group.Status{}, fmt.Errorf("order for term %d of %s is not in force, target reports term %d of %s: %w", o.Term, o.Holder, s.Promise, s.Holder, ErrMalformedReply)
	}
	return s, nil
}

// lockedStatus is a target's status read under its order lock.
type lockedStatus struct{ status group.Status }

// rejects reports whether the target's promise forbids the order.
func (l lockedStatus) rejects(o group.Order) bool {
	s := l.status
	if s.Promise != o.Term {
		return s.Promise > o.Term
	}
	return s.Holder != o.Holder
}

// mustStepDown reports whether the order promotes a target that is still primary of an earlier term. PostgreSQL ignores a promotion of a primary, so that it must become a replica first.
func (l lockedStatus) mustStepDown(o group.Order) bool {
	return o.Kind == group.Promote && l.status.Primary && l.status.Received.Term < o.Term
}

// lock takes the order lock and reads the status under it in one round trip; it returns ErrLocked if another session holds the lock.
func (c *Conn) lock() (lockedStatus, error) {
	for _, sql := range []string{SetLockTimeout, LockQuery, StatusQuery} {
		c.Send(&pgproto3.Query{String: sql})
	}
	if err := c.Flush(); err != nil {
		return lockedStatus{}, err
	}
	if _, err := c.readReply(); err != nil {
		return lockedStatus{}, fmt.Errorf("set lock timeout: %w", err)
	}
	lockRow, err := c.readReply()
	if err != nil {
		return lockedStatus{}, fmt.Errorf("take order lock: %w", err)
	}
	statusRow, err := c.readReply()
	if err != nil {
		return lockedStatus{}, fmt.Errorf("read status under order lock: %w", err)
	}
	if len(lockRow) != 1 || lockRow[0] != "t" {
		return lockedStatus{}, ErrLocked
	}
	s, err := parseStatus(statusRow)
	return lockedStatus{s}, err
}

// unlock releases the order lock, so that the next order does not wait for the end of this session. It returns cause, or the error of the unlock itself.
func (c *Conn) unlock(cause error) error {
	c.Send(&pgproto3.Query{String: UnlockQuery})
	if err := c.Flush(); err != nil {
		return fmt.Errorf("release order lock: %w", err)
	}
	if _, err := c.readReply(); err != nil {
		return fmt.Errorf("release order lock: %w", err)
	}
	return cause
}

// orderStatements returns the statements that carry out an order; it fails for values that cannot be quoted safely.
func orderStatements(o group.Order) ([]string, error) {
	if strings.ContainsAny(string(o.Holder), "'\\") {
		return nil, fmt.Errorf("holder %q cannot be quoted", o.Holder)
	}
	roleSQL, err := roleStatement(o)
	if err != nil {
		return nil, err
	}
	statements := []string{
		fmt.Sprintf(SetTerm, o.Term),
		fmt.Sprintf(SetHolder, o.Holder),
		roleSQL,
		Reload,
	}
	if o.Kind == group.Promote {
		statements = append(statements, Promotion)
	}
	return statements, nil
}

func roleStatement(o group.Order) (string, error) {
	switch o.Kind {
	case group.Fence, group.Promote:
		return StopFollowing, nil
	case group.Follow:
		return followStatement(o.Primary)
	default:
		return "", fmt.Errorf("unknown order kind %d", o.Kind)
	}
}

func followStatement(primary group.Target) (string, error) {
	host, portText, err := net.SplitHostPort(primary.Address)
	if err != nil {
		return "", fmt.Errorf("address of primary: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return "", fmt.Errorf("port of primary: %w", err)
	}
	if strings.ContainsAny(host+string(primary.ID), "'\\ ") {
		return "", fmt.Errorf("primary %q at %q cannot be quoted", primary.ID, host)
	}
	return fmt.Sprintf(FollowPrimary, host, port, primary.ID), nil
}
