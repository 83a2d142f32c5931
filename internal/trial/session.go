package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// requestLimit is how long a session waits for an answer.
	requestLimit = 15 * time.Second
	// stayMost bounds the requests of a session on one daemon.
	stayMost = 6
	// reviseMost bounds the revisions of one quote.
	reviseMost = 12
	// writePercent is the share of writes among requests.
	writePercent = 30
)

// quote is what a session knows of one of its quotes.
type quote struct {
	n        int
	acked    []Tag
	created  bool
	revision int
}

// session is one session that moves from daemon to daemon.
type session struct {
	n       int
	load    *load
	rnd     *rand.Rand
	carries bool
	// reader is true for a session that only looks up quotes of others.
	reader bool
	token  string
	conn   *pgconn.PgConn
	stay   int
	quotes []*quote
	nonce  int
}

// work runs requests until ctx ends.
func (r *session) work(ctx context.Context) {
	defer r.leave(ctx)
	for ctx.Err() == nil {
		if r.ready(ctx) {
			r.request(ctx)
		}
		pause := clock.Millis(r.rnd.IntN(int(r.load.think)))
		if r.load.clk.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// ready moves the session on when its stay is over, and connects it.
func (r *session) ready(ctx context.Context) bool {
	if r.conn != nil && (r.conn.IsClosed() || r.stay <= 0) {
		r.leave(ctx)
	}
	if r.conn != nil {
		r.stay--
		return true
	}
	address := r.load.addresses[r.rnd.IntN(len(r.load.addresses))]
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	c, err := connect(ctx, address, r.token)
	if err != nil {
		return false
	}
	r.conn = c
	r.stay = 1 + r.rnd.IntN(stayMost)
	return true
}

func (r *session) leave(ctx context.Context) {
	if r.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = r.conn.Close(ctx)
	r.conn = nil
}

func (r *session) request(ctx context.Context) {
	if r.reader {
		r.browse(ctx)
		return
	}
	last := r.last()
	switch {
	case last == nil || !last.created || last.revision >= reviseMost:
		r.create(ctx)
	case r.rnd.IntN(100) < writePercent:
		r.revise(ctx, last)
	default:
		r.read(ctx, r.quotes[r.rnd.IntN(len(r.quotes))])
	}
}

func (r *session) last() *quote {
	if len(r.quotes) == 0 {
		return nil
	}
	return r.quotes[len(r.quotes)-1]
}

func (r *session) create(ctx context.Context) {
	q := &quote{n: len(r.quotes)}
	r.quotes = append(r.quotes, q)
	id := quoteID(r.n, q.n)
	tag := Tag(id + "c")
	sql := fmt.Sprintf(`INSERT INTO quotes(id, lot, price) SELECT '%s-' || (SELECT count(*) FROM quotes WHERE id LIKE '%s-%%'), '%s', 100 /*request='quote.create'*/`, id, id, tag)
	q.created = r.write(ctx, q, Create, tag, sql) == Acknowledged
}

func (r *session) revise(ctx context.Context, q *quote) {
	q.revision++
	id := quoteID(r.n, q.n)
	tag := Tag(id + "r" + strconv.Itoa(q.revision))
	sql := fmt.Sprintf(`UPDATE quotes SET lot = lot || '|%s', price = price + 1 WHERE id = '%s-0' /*request='quote.revise'*/`, tag, id)
	r.write(ctx, q, Revise, tag, sql)
}

func (r *session) write(ctx context.Context, q *quote, k WriteKind, tag Tag, sql string) Fate {
	e := WriteEntry{Session: r.n, Quote: q.n, Tag: tag, Kind: k, Began: r.load.clk.Now()}
	a := r.run(ctx, sql)
	e.Fate = a.Fate
	e.Code = a.Code
	e.Finished = r.load.clk.Now()
	r.load.history.addWrite(&e)
	if e.Fate == Acknowledged {
		q.acked = append(q.acked, tag)
		r.load.acks.add(quoteID(r.n, q.n)+"-0", tag, e.Finished)
	}
	return e.Fate
}

// read asks for one of the session's quotes and compares the answer with what was acknowledged.
func (r *session) read(ctx context.Context, q *quote) {
	r.look(ctx, quoteID(r.n, q.n)+"-0", q.acked)
}

// browse asks for a quote of any session.
func (r *session) browse(ctx context.Context) {
	if id, ok := r.load.acks.pick(r.rnd); ok {
		r.look(ctx, id, nil)
	}
}

func (r *session) look(ctx context.Context, id string, own []Tag) {
	r.nonce++
	nonce := "n" + strconv.Itoa(r.n) + "-" + strconv.Itoa(r.nonce)
	e := ReadEntry{Aged: r.rnd.IntN(2) == 0, Began: r.load.clk.Now()}
	request, since := "lot.read", e.Began
	if e.Aged {
		request, since = "bulletin.lookup", e.Began-statedAge
	}
	due := r.load.acks.before(id, since)
	sql := fmt.Sprintf(`SELECT id, lot, price, '%s' FROM quotes WHERE id = '%s' /*request='%s'*/`, nonce, id, request)
	a := r.run(ctx, sql)
	e.Fate = a.Fate
	e.Code = a.Code
	e.Took = r.load.clk.Now() - e.Began
	e.Missing = missing(own, a.Rows)
	e.Overdue = missing(due, a.Rows)
	e.Mixed = mixed(a.Rows, id, nonce)
	r.load.history.addRead(&e)
}

func (r *session) run(ctx context.Context, sql string) Answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestLimit)
	defer cancel()
	a := r.load.driver.Run(ctx, r.conn, Statement{SQL: sql, Simple: !r.carries})
	if r.carries {
		if t := r.conn.ParameterStatus(tokenParameter); t != "" {
			r.token = t
		}
	}
	return a
}

// missing are the acknowledged writes that rows do not show.
func missing(acked []Tag, rows []Answered) []Tag {
	var shown []Tag
	for _, row := range rows {
		shown = append(shown, tagsOf(row.Lot)...)
	}
	var out []Tag
	for _, t := range acked {
		if !slices.Contains(shown, t) {
			out = append(out, t)
		}
	}
	return out
}

// mixed reports whether a row answers another request than the one with that id and nonce.
func mixed(rows []Answered, id, nonce string) bool {
	for _, row := range rows {
		if row.ID != id || row.Nonce != nonce {
			return true
		}
	}
	return len(rows) > 1
}
