package target

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Object IDs of the types in the wire protocol.
const (
	boolOID    uint32 = 16
	byteaOID   uint32 = 17
	int8OID    uint32 = 20
	int2OID    uint32 = 21
	int4OID    uint32 = 23
	textOID    uint32 = 25
	float4OID  uint32 = 700
	float8OID  uint32 = 701
	varcharOID uint32 = 1043
)

const (
	textFormat   int16 = 0
	binaryFormat int16 = 1

	timestampLayout = "2006-01-02 15:04:05.999999"
)

// oidOfType returns the type of a declared column type; an unknown type is text.
func oidOfType(declared string) uint32 {
	name, _, _ := strings.Cut(strings.ToUpper(declared), "(")
	switch strings.TrimSpace(name) {
	case "BIGINT", "INT8", "BIGSERIAL":
		return int8OID
	case "INT", "INTEGER", "INT4", "SERIAL":
		return int4OID
	case "SMALLINT", "INT2":
		return int2OID
	case "REAL", "DOUBLE PRECISION", "FLOAT", "FLOAT8", "DOUBLE":
		return float8OID
	case "BOOLEAN", "BOOL":
		return boolOID
	case "BYTEA", "BLOB":
		return byteaOID
	}
	return textOID
}

func oidOfValue(v driver.Value) uint32 {
	switch v.(type) {
	case int64:
		return int8OID
	case float64:
		return float8OID
	case []byte:
		return byteaOID
	}
	return textOID
}

// typeSize returns the size of a type in bytes, or -1 for a variable size.
func typeSize(oid uint32) int16 {
	switch oid {
	case boolOID:
		return 1
	case int2OID:
		return 2
	case int4OID, float4OID:
		return 4
	case int8OID, float8OID:
		return 8
	}
	return -1
}

// encode encodes a value of a result in the requested format; nil is NULL.
func encode(v driver.Value, oid uint32, format int16) ([]byte, error) {
	if v == nil || format == textFormat {
		return encodeText(v, oid), nil
	}
	switch n := v.(type) {
	case int64:
		return encodeInteger(n, oid)
	case float64:
		if oid == float8OID {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(n)), nil
		}
	case []byte:
		return n, nil
	}
	text := encodeText(v, oid)
	switch oid {
	case textOID, varcharOID, byteaOID:
		return text, nil
	case boolOID:
		if string(text) == "t" {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	}
	return nil, fail(codeInvalidText, "value %q does not fit type %d", text, oid)
}

func encodeInteger(n int64, oid uint32) ([]byte, error) {
	switch oid {
	case int8OID:
		return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
	case int4OID:
		if n != int64(int32(n)) {
			return nil, fail("22003", "integer out of range")
		}
		return binary.BigEndian.AppendUint32(nil, uint32(n)), nil
	case int2OID:
		if n != int64(int16(n)) {
			return nil, fail("22003", "smallint out of range")
		}
		return binary.BigEndian.AppendUint16(nil, uint16(n)), nil
	case float8OID:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(float64(n))), nil
	case boolOID:
		return []byte{byte(min(n, 1))}, nil
	}
	return strconv.AppendInt(nil, n, 10), nil
}

func encodeText(v driver.Value, oid uint32) []byte {
	if oid == boolOID && v != nil {
		return encodeBool(v)
	}
	switch x := v.(type) {
	case nil:
		return nil
	case int64:
		return strconv.AppendInt(nil, x, 10)
	case float64:
		return strconv.AppendFloat(nil, x, 'g', -1, 64)
	case string:
		return append([]byte{}, x...)
	case []byte:
		return append([]byte(`\x`), hex.EncodeToString(x)...)
	case time.Time:
		return x.AppendFormat(nil, timestampLayout)
	}
	return fmt.Append(nil, v)
}

func encodeBool(v driver.Value) []byte {
	switch fmt.Sprint(v) {
	case "1", "t", "true", "on", "yes":
		return []byte("t")
	}
	return []byte("f")
}

// decode decodes a parameter. A parameter without a type (0) gets the type of its column when SQLite stores it.
func decode(raw []byte, oid uint32, format int16) (driver.Value, error) {
	switch {
	case raw == nil:
		return nil, nil
	case format == binaryFormat:
		return decodeBinary(raw, oid)
	}
	text := string(raw)
	switch oid {
	case int2OID, int4OID, int8OID:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, fail(codeInvalidText, "invalid integer %q", text)
		}
		return n, nil
	case float4OID, float8OID:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fail(codeInvalidText, "invalid number %q", text)
		}
		return f, nil
	case boolOID:
		return boolInteger(string(encodeBool(text)) == "t"), nil
	case byteaOID:
		return decodeHex(text)
	case 0:
		return decodeUnknown(text), nil
	}
	return text, nil
}

// decodeUnknown returns an integer if text is the shortest form of one; a text column converts it back to the same text.
func decodeUnknown(text string) driver.Value {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || strconv.FormatInt(n, 10) != text {
		return text
	}
	return n
}

func decodeHex(text string) (driver.Value, error) {
	digits, ok := strings.CutPrefix(text, `\x`)
	if !ok {
		return []byte(text), nil
	}
	b, err := hex.DecodeString(digits)
	if err != nil {
		return nil, fail(codeInvalidText, "invalid bytea")
	}
	return b, nil
}

func decodeBinary(raw []byte, oid uint32) (driver.Value, error) {
	size := typeSize(oid)
	if size > 0 && len(raw) != int(size) {
		return nil, fail(codeInvalidBinary, "got %d bytes, want %d", len(raw), size)
	}
	switch oid {
	case int2OID:
		return int64(int16(binary.BigEndian.Uint16(raw))), nil
	case int4OID:
		return int64(int32(binary.BigEndian.Uint32(raw))), nil
	case int8OID:
		return int64(binary.BigEndian.Uint64(raw)), nil
	case float4OID:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(raw))), nil
	case float8OID:
		return math.Float64frombits(binary.BigEndian.Uint64(raw)), nil
	case boolOID:
		return boolInteger(raw[0] != 0), nil
	case byteaOID:
		return append([]byte{}, raw...), nil
	case 0, textOID, varcharOID:
		return string(raw), nil
	}
	return nil, fail(codeInvalidBinary, "no binary format for type %d", oid)
}

// boolInteger returns the integer that SQLite stores for a boolean.
func boolInteger(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
