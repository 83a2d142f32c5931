// Package warm holds the module's dependencies until code uses them.
package warm

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rotisserie/eris"
	_ "github.com/urfave/cli/v3"
	_ "github.com/xdg-go/scram"
	_ "go.uber.org/zap"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "google.golang.org/protobuf/runtime/protoimpl"
	_ "gopkg.in/ini.v1"
	_ "modernc.org/sqlite"
	_ "pgregory.net/rapid"
)
