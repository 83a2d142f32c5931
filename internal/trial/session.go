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
	// requestTimeout bounds a connection attempt and the wait for a reply.
	requestTimeout = 15 * time.Second
	// maxRequestsPerConn is the upper bound of the random number of requests that a session sends to one daemon before it moves on.
	maxRequestsPerConn = 6
	// maxRevisions is the number of revisions of a quote after which the session creates a new one.
	maxRevisions = 12
	// writePercent is the share of revisions among the requests of a session whose latest quote can be revised.
	writePercent = 30
)

// quote is a session's view of one of its quotes.
type quote struct {
	n        int // number of the quote within its session, from 0
	acked    []Tag
	created  bool
	revision int // number of the latest revision sent
}

// session is a session that moves between the daemons.
type session struct {
	n            int // number of the session, from 0
	load         *load
	rnd          *rand.Rand
	carriesToken bool // sends its token with each new connection and uses the extended query protocol
	// reader is true for a session that only reads and so creates no quotes of its own.
	reader       bool
	token        string
	conn         *pgconn.PgConn
	requestsLeft int // requests to send before the session moves to another daemon
	quotes       []*quote
	nonce        int // number of the latest read
}

// loop sends requests until ctx ends.
func (s *session) loop(ctx context.Context) {
	defer s.disconnect(ctx)
	for ctx.Err() == nil {
		if s.ensureConnected(ctx) {
			s.request(ctx)
		}
		pause := clock.Millis(s.rnd.IntN(int(s.load.thinkTime)))
		if s.load.clk.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// ensureConnected connects the session to a random daemon if it has no connection, if its connection is closed, or if it has sent
// its requests to the current daemon. It reports whether the session is connected.
func (s *session) ensureConnected(ctx context.Context) bool {
	if s.conn != nil && (s.conn.IsClosed() || s.requestsLeft <= 0) {
		s.disconnect(ctx)
	}
	if s.conn != nil {
		s.requestsLeft--
		return true
	}
	address := s.load.addresses[s.rnd.IntN(len(s.load.addresses))]
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c, err := connect(ctx, address, s.token)
	if err != nil {
		return false
	}
	s.conn = c
	s.requestsLeft = 1 + s.rnd.IntN(maxRequestsPerConn)
	return true
}

func (s *session) disconnect(ctx context.Context) {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

func (s *session) request(ctx context.Context) {
	if s.reader {
		s.readAny(ctx)
		return
	}
	lastQuote := s.lastQuote()
	switch {
	case lastQuote == nil || !lastQuote.created || lastQuote.revision >= maxRevisions:
		s.create(ctx)
	case s.rnd.IntN(100) < writePercent:
		s.revise(ctx, lastQuote)
	default:
		s.readOwn(ctx, s.quotes[s.rnd.IntN(len(s.quotes))])
	}
}

func (s *session) lastQuote() *quote {
	if len(s.quotes) == 0 {
		return nil
	}
	return s.quotes[len(s.quotes)-1]
}

func (s *session) create(ctx context.Context) {
	q := &quote{n: len(s.quotes)}
	s.quotes = append(s.quotes, q)
	id := quoteID(s.n, q.n)
	tag := Tag(id + "c")
	sql := fmt.Sprintf(`INSERT INTO quotes(id, lot, price) SELECT '%s-' || (SELECT count(*) FROM quotes WHERE id LIKE '%s-%%'), '%s', 100 /*request='quote.create'*/`, id, id, tag)
	q.created = s.write(ctx, q, Create, tag, sql) == Acknowledged
}

func (s *session) revise(ctx context.Context, q *quote) {
	q.revision++
	id := quoteID(s.n, q.n)
	tag := Tag(id + "r" + strconv.Itoa(q.revision))
	sql := fmt.Sprintf(`UPDATE quotes SET lot = lot || '|%s', price = price + 1 WHERE id = '%s-0' /*request='quote.revise'*/`, tag, id)
	s.write(ctx, q, Revise, tag, sql)
}

func (s *session) write(ctx context.Context, q *quote, k WriteKind, tag Tag, sql string) Outcome {
	e := WriteRecord{Session: s.n, Quote: q.n, Tag: tag, Kind: k, Began: s.load.clk.Now()}
	reply := s.execute(ctx, sql)
	e.Outcome = reply.Outcome
	e.Code = reply.Code
	e.Finished = s.load.clk.Now()
	s.load.history.addWrite(&e)
	if e.Outcome == Acknowledged {
		q.acked = append(q.acked, tag)
		s.load.acks.add(quoteID(s.n, q.n)+"-0", tag, e.Finished)
	}
	return e.Outcome
}

// readOwn reads one of the session's quotes and compares the rows with the acknowledged writes.
func (s *session) readOwn(ctx context.Context, q *quote) {
	s.lookUp(ctx, quoteID(s.n, q.n)+"-0", q.acked)
}

// readAny reads a random acknowledged quote of any session.
func (s *session) readAny(ctx context.Context) {
	if id, ok := s.load.acks.pick(s.rnd); ok {
		s.lookUp(ctx, id, nil)
	}
}

// lookUp reads the row with that ID and records which writes the rows lack; own lists the acknowledged writes of the session to the
// row. It uses a request with a maximum age half of the time.
func (s *session) lookUp(ctx context.Context, id string, own []Tag) {
	s.nonce++
	nonce := "n" + strconv.Itoa(s.n) + "-" + strconv.Itoa(s.nonce)
	e := ReadRecord{HasMaxAge: s.rnd.IntN(2) == 0, Began: s.load.clk.Now()}
	request, since := "lot.read", e.Began
	if e.HasMaxAge {
		request, since = "bulletin.lookup", e.Began-lookupMaxAge
	}
	due := s.load.acks.before(id, since)
	sql := fmt.Sprintf(`SELECT id, lot, price, '%s' FROM quotes WHERE id = '%s' /*request='%s'*/`, nonce, id, request)
	reply := s.execute(ctx, sql)
	e.Outcome = reply.Outcome
	e.Code = reply.Code
	e.Took = s.load.clk.Now() - e.Began
	e.Missing = missing(own, reply.Rows)
	e.Overdue = missing(due, reply.Rows)
	e.Mixed = mixed(reply.Rows, id, nonce)
	s.load.history.addRead(&e)
}

func (s *session) execute(ctx context.Context, sql string) Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	reply := s.load.driver.Run(ctx, s.conn, Statement{SQL: sql, Simple: !s.carriesToken})
	if s.carriesToken {
		if t := s.conn.ParameterStatus(tokenParameter); t != "" {
			s.token = t
		}
	}
	return reply
}

// missing returns the acknowledged writes whose tags the rows lack.
func missing(acked []Tag, rows []ReplyRow) []Tag {
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

// mixed reports whether rows include a reply to another request than the one with that ID and nonce, or more than one row.
func mixed(rows []ReplyRow, id, nonce string) bool {
	for _, row := range rows {
		if row.ID != id || row.Nonce != nonce {
			return true
		}
	}
	return len(rows) > 1
}
