package target

import (
	"context"
	"database/sql/driver"
	"errors"
	"fmt"
	"io"
	"strings"

	"modernc.org/sqlite"
)

// maxKnown bounds the statements that are kept prepared.
const maxKnown = 1024

type liteConn interface {
	driver.Conn
	driver.QueryerContext
	driver.ExecerContext
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}

type column struct {
	name string
	oid  uint32
}

type liteStatement interface {
	driver.Stmt
	driver.StmtQueryContext
	driver.StmtExecContext
}

// known is a statement that is kept prepared, with its result columns.
type known struct {
	statement liteStatement
	columns   []column
}

type result struct {
	tag      string // other than the statement says
	columns  []column
	rows     [][]driver.Value
	affected int64
}

// database is one in-memory database, used by one statement at a time.
type database struct {
	ctx   context.Context // never ends, so that a rollback always runs
	conn  liteConn
	known map[string]*known
}

func openDatabase(ctx context.Context) (*database, error) {
	opened, err := new(sqlite.Driver).Open(":memory:")
	if err != nil {
		return nil, fmt.Errorf("open memory: %w", err)
	}
	conn, ok := opened.(liteConn)
	if !ok {
		return nil, errors.New("driver lacks column information")
	}
	db := &database{ctx: context.WithoutCancel(ctx), conn: conn, known: make(map[string]*known)}
	if err := db.exec("PRAGMA foreign_keys = ON"); err != nil {
		return nil, err
	}
	return db, nil
}

func (d *database) close() error {
	d.forget()
	return d.conn.Close()
}

// forget drops the prepared statements, whose columns a change of the schema may change.
func (d *database) forget() {
	for _, k := range d.known {
		_ = k.statement.Close()
	}
	clear(d.known)
}

// rollback ends a transaction, also one that the engine has rolled back already.
func (d *database) rollback() {
	_ = d.exec("ROLLBACK")
	d.forget() // the transaction may have changed the schema
}

// exec runs a statement of a transaction's frame.
func (d *database) exec(sql string) error {
	_, err := d.run(d.ctx, sql, nil)
	return err
}

// run executes one statement and reads all its rows.
func (d *database) run(ctx context.Context, sql string, args []driver.Value) (*result, error) {
	k, err := d.prepare(sql)
	if err != nil {
		return nil, err
	}
	if len(k.columns) == 0 {
		return d.change(ctx, sql, k, args)
	}
	rows, err := k.statement.QueryContext(ctx, named(args))
	if err != nil {
		return nil, err
	}
	res := &result{columns: k.columns}
	for {
		row := make([]driver.Value, len(k.columns))
		err := rows.Next(row)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			_ = rows.Close()
			return nil, err
		}
		res.rows = append(res.rows, row)
	}
	res.affected = int64(len(res.rows))
	return res, rows.Close()
}

func (d *database) change(ctx context.Context, sql string, k *known, args []driver.Value) (*result, error) {
	done, err := k.statement.ExecContext(ctx, named(args))
	if err != nil {
		return nil, err
	}
	if changesSchema(sql) {
		d.forget()
		return &result{}, nil
	}
	n, err := done.RowsAffected()
	if err != nil {
		return nil, err
	}
	return &result{affected: n}, nil
}

// replay applies one record as a whole or not at all.
func (d *database) replay(r *record) error {
	if err := d.exec("BEGIN"); err != nil {
		return err
	}
	for _, s := range r.statements {
		if _, err := d.run(d.ctx, s.sql, s.args); err != nil {
			d.rollback()
			return err
		}
	}
	return d.exec("COMMIT")
}

// describe returns the result columns of a statement, none for one that returns no rows.
func (d *database) describe(sql string) ([]column, error) {
	k, err := d.prepare(sql)
	if err != nil {
		return nil, err
	}
	return k.columns, nil
}

func (d *database) prepare(sql string) (*known, error) {
	if k, ok := d.known[sql]; ok {
		return k, nil
	}
	columns, err := d.columns(sql)
	if err != nil {
		return nil, err
	}
	prepared, err := d.conn.Prepare(sql)
	if err != nil {
		return nil, err
	}
	statement, ok := prepared.(liteStatement)
	if !ok {
		return nil, errors.New("driver lacks statements with contexts")
	}
	if len(d.known) >= maxKnown {
		d.forget()
	}
	k := &known{statement: statement, columns: columns}
	d.known[sql] = k
	return k, nil
}

func (d *database) columns(sql string) ([]column, error) {
	info, err := d.conn.ColumnInfo(sql)
	if err != nil {
		return nil, err
	}
	columns := make([]column, len(info))
	unknown := false
	for i, c := range info {
		columns[i] = column{name: c.Name, oid: oidOfType(c.DeclType)}
		unknown = unknown || c.DeclType == ""
	}
	if unknown {
		return columns, d.guess(sql, columns)
	}
	return columns, nil
}

// guess finds types for columns without a declared one: by the name of a declared column, or from a first row.
func (d *database) guess(sql string, columns []column) error {
	declared, err := d.declared()
	if err != nil {
		return err
	}
	var first []driver.Value
	if kindOf(verbOf(sql)) == readStatement {
		if first, err = d.first(sql, len(columns)); err != nil {
			return err
		}
	}
	for i, c := range columns {
		if oid, ok := declared[c.name]; ok {
			columns[i].oid = oid
		}
		if first != nil && columns[i].oid == textOID {
			columns[i].oid = oidOfValue(first[i])
		}
	}
	return nil
}

// first runs a read with NULL for every parameter.
func (d *database) first(sql string, width int) ([]driver.Value, error) {
	args := make([]driver.Value, parameters(sql))
	rows, err := d.conn.QueryContext(d.ctx, sql, named(args))
	if err != nil {
		return nil, nil //nolint:nilerr // a statement that fails on NULL keeps text columns
	}
	row := make([]driver.Value, width)
	if err := rows.Next(row); err != nil {
		row = nil
	}
	return row, rows.Close()
}

func (d *database) declared() (map[string]uint32, error) {
	const query = "SELECT p.name, p.type FROM sqlite_master m, pragma_table_info(m.name) p WHERE m.type = 'table'"
	rows, err := d.conn.QueryContext(d.ctx, query, nil)
	if err != nil {
		return nil, err
	}
	found := make(map[string]uint32)
	row := make([]driver.Value, 2)
	for rows.Next(row) == nil {
		name, _ := row[0].(string)
		kind, _ := row[1].(string)
		found[name] = oidOfType(kind)
	}
	return found, rows.Close()
}

func named(args []driver.Value) []driver.NamedValue {
	out := make([]driver.NamedValue, len(args))
	for i, a := range args {
		out[i] = driver.NamedValue{Ordinal: i + 1, Value: a}
	}
	return out
}

func changesSchema(sql string) bool {
	switch strings.ToUpper(verbOf(sql)) {
	case "CREATE", "DROP", "ALTER":
		return true
	}
	return false
}
