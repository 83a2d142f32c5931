package target

import (
	"database/sql/driver"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushBytes is the size of encoded rows after which sendRows flushes.
const flushBytes = 64 << 10

// describeRow returns the RowDescription of a result.
func describeRow(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: typeSize(c.oid),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// formatOf returns the format of the i-th value: a single format applies to all values, and an empty list means text.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return textFormat
}

// sendRows sends rows and flushes after each flushBytes.
func (s *session) sendRows(res *result, rows [][]driver.Value, formats []int16) error {
	pending := 0
	for _, row := range rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			encoded, err := encode(v, res.columns[i].oid, formatOf(formats, i))
			if err != nil {
				return err
			}
			values[i] = encoded
			pending += len(encoded)
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
		if pending < flushBytes {
			continue
		}
		pending = 0
		if err := s.flush(); err != nil {
			return err
		}
	}
	return nil
}
