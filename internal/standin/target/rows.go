package target

import (
	"database/sql/driver"

	"github.com/jackc/pgx/v5/pgproto3"
)

const flushBytes = 64 << 10 // of rows between flushes

// describeRow names the columns of a result and their formats.
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

// formatOf picks from a list of formats, in which one counts for all and none means text.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return textFormat
}

// sendRows sends rows and flushes large results as it goes.
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
		s.wire.Send(&pgproto3.DataRow{Values: values})
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
