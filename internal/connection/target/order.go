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

// ErrOutranked means that the target has promised a higher term, or the same one to another holder.
type ErrOutranked struct {
	Promise position.Term
	Holder  group.DaemonID
}

// Error names the promise and its holder.
func (e *ErrOutranked) Error() string {
	return fmt.Sprintf("outranked by term %d of %s", e.Promise, e.Holder)
}

// ErrLocked means that another order is being given to the target at this moment.
var ErrLocked = errors.New("target is locked by another order")

// Order gives an order under the target's lock and returns its status afterwards; it closes the connection, since the lock's idle limit stays on it.
func (c *Conn) Order(ctx context.Context, o group.Order) (group.Status, error) {
	defer c.Close()
	defer c.Attach(ctx)()
	statements, err := orderStatements(o)
	if err != nil {
		return group.Status{}, err
	}
	return c.order(o, statements)
}

func (c *Conn) order(o group.Order, statements []string) (group.Status, error) {
	locked, err := c.lock()
	if err != nil {
		return group.Status{}, err
	}
	if locked.outranks(o) {
		return locked.status, c.unlock(&ErrOutranked{Promise: locked.status.Promise, Holder: locked.status.Holder})
	}
	if locked.mustStepDown(o) {
		down, err := followStatement(o.Primary)
		if err != nil {
			return group.Status{}, err
		}
		statements = append([]string{down, Reload}, statements...)
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
		if _, err := c.answer(); err != nil {
			return group.Status{}, fmt.Errorf("order %q: %w", sql, err)
		}
	}
	return c.afterOrder(o)
}

func (c *Conn) afterOrder(o group.Order) (group.Status, error) {
	r, err := c.answer()
	if err != nil {
		return group.Status{}, fmt.Errorf("status after order: %w", err)
	}
	s, err := parseStatus(r)
	if err != nil {
		return group.Status{}, err
	}
	unlocked, err := c.answer()
	if err != nil {
		return group.Status{}, fmt.Errorf("unlock: %w", err)
	}
	if len(unlocked) != 1 || unlocked[0] != "t" {
		return group.Status{}, fmt.Errorf("lock was lost: %w", ErrAnswer)
	}
	if s.Promise != o.Term || s.Holder != o.Holder {
		return group.Status{}, fmt.Errorf("order is not in force: %w", ErrAnswer)
	}
	return s, nil
}

// held is the status under the lock.
type held struct{ status group.Status }

// outranks reports whether the target's promise forbids the order.
func (h held) outranks(o group.Order) bool {
	s := h.status
	if s.Promise != o.Term {
		return s.Promise > o.Term
	}
	return s.Holder != o.Holder
}

// mustStepDown reports whether a target that still is primary of an earlier term is to be promoted: a server that is primary ignores a promotion.
func (h held) mustStepDown(o group.Order) bool {
	return o.Kind == group.Promote && h.status.Primary && h.status.Received.Term < o.Term
}

// lock takes the lock and reads the status under it, in one round trip.
func (c *Conn) lock() (held, error) {
	for _, sql := range []string{LockTimeout, LockQuery, StatusQuery} {
		c.Send(&pgproto3.Query{String: sql})
	}
	if err := c.Flush(); err != nil {
		return held{}, err
	}
	if _, err := c.answer(); err != nil {
		return held{}, fmt.Errorf("set lock timeout: %w", err)
	}
	got, err := c.answer()
	if err != nil {
		return held{}, fmt.Errorf("lock: %w", err)
	}
	r, err := c.answer()
	if err != nil {
		return held{}, fmt.Errorf("status under lock: %w", err)
	}
	if len(got) != 1 || got[0] != "t" {
		return held{}, ErrLocked
	}
	s, err := parseStatus(r)
	return held{s}, err
}

// unlock gives the lock back, so that the next order need not wait for the end of this session, and returns cause or what went wrong.
func (c *Conn) unlock(cause error) error {
	c.Send(&pgproto3.Query{String: UnlockQuery})
	if err := c.Flush(); err != nil {
		return fmt.Errorf("unlock: %w", err)
	}
	if _, err := c.answer(); err != nil {
		return fmt.Errorf("unlock: %w", err)
	}
	return cause
}

func orderStatements(o group.Order) ([]string, error) {
	if strings.ContainsAny(string(o.Holder), "'\\") {
		return nil, fmt.Errorf("holder %q cannot be quoted", o.Holder)
	}
	role, err := roleStatement(o)
	if err != nil {
		return nil, err
	}
	list := []string{
		fmt.Sprintf(SetTerm, o.Term),
		fmt.Sprintf(SetHolder, o.Holder),
		role,
		Reload,
	}
	if o.Kind == group.Promote {
		list = append(list, Promotion)
	}
	return list, nil
}

func roleStatement(o group.Order) (string, error) {
	switch o.Kind {
	case group.Fence, group.Promote:
		return StopFollowing, nil
	case group.Follow:
		return followStatement(o.Primary)
	default:
		return "", fmt.Errorf("unknown order %d", o.Kind)
	}
}

func followStatement(p group.Target) (string, error) {
	host, text, err := net.SplitHostPort(p.Address)
	if err != nil {
		return "", fmt.Errorf("address of primary: %w", err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", fmt.Errorf("port of primary: %w", err)
	}
	if strings.ContainsAny(host+string(p.ID), "'\\ ") {
		return "", fmt.Errorf("primary %q at %q cannot be quoted", p.ID, host)
	}
	return fmt.Sprintf(FollowPrimary, host, port, p.ID), nil
}
