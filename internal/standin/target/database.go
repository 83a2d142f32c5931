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

// maxCached is the maximum number of statements in the cache of a database.
const maxCached = 1024

// sqliteConn is the part of the SQLite driver's connection that the package uses.
type sqliteConn interface {
	driver.Conn
	driver.QueryerContext
	driver.ExecerContext
	ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
}

type column struct {
	name string
	oid  uint32
}

// sqliteStatement is the part of the SQLite driver's statement that the package uses.
type sqliteStatement interface {
	driver.Stmt
	driver.StmtQueryContext
	driver.StmtExecContext
}

// cachedStatement is a prepared statement of the cache with its result columns.
type cachedStatement struct {
	statement sqliteStatement
	columns   []column
}

type result struct {
	tag      string // command tag, if it does not follow from the statement
	columns  []column
	rows     [][]driver.Value
	affected int64
}

// database is an in-memory database, which runs one statement at a time.
type database struct {
	ctx   context.Context // is never cancelled, so that a rollback always runs
	conn  sqliteConn
	cache map[string]*cachedStatement
}

func openDatabase(ctx context.Context) (*database, error) {
	opened, err := new(sqlite.Driver).Open(":memory:")
	if err != nil {
		return nil, fmt.Errorf("open memory: %w", err)
	}
	conn, ok := opened.(sqliteConn)
	if !ok {
		return nil, errors.New("driver lacks column information")
	}
	db := &database{ctx: context.WithoutCancel(ctx), conn: conn, cache: make(map[string]*cachedStatement)}
	if err := db.exec("PRAGMA foreign_keys = ON"); err != nil {
		return nil, err
	}
	return db, nil
}

func (d *database) close() error {
	d.clearCache()
	return d.conn.Close()
}

// clearCache closes the cached statements, because their columns may change with the schema.
func (d *database) clearCache() {
	for _, k := range d.cache {
		_ = k.statement.Close()
	}
	clear(d.cache)
}

// rollback rolls a transaction back; it ignores the error of a transaction that SQLite has rolled back already.
func (d *database) rollback() {
	_ = d.exec("ROLLBACK")
	d.clearCache() // the transaction may have changed the schema
}

// exec runs a statement without parameters that starts or ends a transaction or configures the database.
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
		return d.execute(ctx, sql, k, args)
	}
	rows, err := k.statement.QueryContext(ctx, namedValues(args))
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

// execute runs a statement that returns no rows.
func (d *database) execute(ctx context.Context, sql string, k *cachedStatement, args []driver.Value) (*result, error) {
	done, err := k.statement.ExecContext(ctx, namedValues(args))
	if err != nil {
		return nil, err
	}
	if changesSchema(sql) {
		d.clearCache()
		return &result{}, nil
	}
	n, err := done.RowsAffected()
	if err != nil {
		return nil, err
	}
	return &result{affected: n}, nil
}

// replay applies one record atomically.
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

// describe returns the result columns of a statement; a statement that returns no rows has none.
func (d *database) describe(sql string) ([]column, error) {
	k, err := d.prepare(sql)
	if err != nil {
		return nil, err
	}
	return k.columns, nil
}

func (d *database) prepare(sql string) (*cachedStatement, error) {
	if k, ok := d.cache[sql]; ok {
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
	statement, ok := prepared.(sqliteStatement)
	if !ok {
		return nil, errors.New("driver lacks statements with contexts")
	}
	if len(d.cache) >= maxCached {
		d.clearCache()
	}
	k := &cachedStatement{statement: statement, columns: columns}
	d.cache[sql] = k
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
		return columns, d.inferTypes(sql, columns)
	}
	return columns, nil
}

// inferTypes sets the types of result columns: a column gets the type of a declared column with the same name, and a column that is
// still text gets the type of its value in the first row.
func (d *database) inferTypes(sql string, columns []column) error {
	declaredTypes, err := d.declaredTypes()
	if err != nil {
		return err
	}
	var firstRow []driver.Value
	if kindOf(verbOf(sql)) == readStatement {
		if firstRow, err = d.firstRow(sql, len(columns)); err != nil {
			return err
		}
	}
	for i, c := range columns {
		if oid, ok := declaredTypes[c.name]; ok {
			columns[i].oid = oid
		}
		if firstRow != nil && columns[i].oid == textOID {
			columns[i].oid = oidOfValue(firstRow[i])
		}
	}
	return nil
}

// firstRow runs a read with NULL for every parameter and returns its first row, or nil if there is none.
func (d *database) firstRow(sql string, width int) ([]driver.Value, error) {
	args := make([]driver.Value, countParameters(sql))
	rows, err := d.conn.QueryContext(d.ctx, sql, namedValues(args))
	if err != nil {
		return nil, nil //nolint:nilerr // a statement that fails on NULL keeps text columns
	}
	row := make([]driver.Value, width)
	if err := rows.Next(row); err != nil {
		row = nil
	}
	return row, rows.Close()
}

// declaredTypes returns the types of all declared columns by name.
func (d *database) declaredTypes() (map[string]uint32, error) {
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

func namedValues(args []driver.Value) []driver.NamedValue {
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
