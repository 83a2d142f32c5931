package command

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLog returns a logger that writes JSON lines of level and above to w.
func newLog(w io.Writer, level zapcore.Level) *zap.Logger {
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), level))
}
