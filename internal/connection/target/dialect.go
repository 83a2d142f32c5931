package target

// The statements of the control protocol; another kind of target is another file like this one.
const (
	// StatusQuery returns one row of text values: promise, holder, is-primary (t or f), following, received term, received position, applied term, applied position.
	StatusQuery = `SELECT coalesce(current_setting('cactusfork.term', true), '0'), ` +
		`coalesce(current_setting('cactusfork.holder', true), ''), ` +
		`NOT pg_is_in_recovery(), ` +
		`coalesce((SELECT substring(conninfo FROM 'application_name=(\S+)') FROM pg_stat_wal_receiver WHERE status = 'streaming'), ''), ` +
		`greatest((pg_control_recovery()).min_recovery_end_timeline, (pg_control_checkpoint()).timeline_id), ` +
		`coalesce(pg_last_wal_receive_lsn(), pg_current_wal_flush_lsn()) - '0/0', ` +
		`(pg_control_checkpoint()).timeline_id, ` +
		`coalesce(pg_last_wal_replay_lsn(), pg_current_wal_flush_lsn()) - '0/0'`

	// PositionQuery returns one row of text values: is-primary (t or f), applied term, applied position; sent right behind a statement, it covers that statement.
	PositionQuery = `SELECT NOT pg_is_in_recovery(), (pg_control_checkpoint()).timeline_id, ` +
		`coalesce(pg_last_wal_replay_lsn(), pg_current_wal_flush_lsn()) - '0/0'`

	// LockQuery takes the lock under which an order is compared and set: one row, t or f.
	LockQuery = `SELECT pg_try_advisory_lock(72330017)`
	// UnlockQuery gives the lock back; the target also gives it back when the session ends.
	UnlockQuery = `SELECT pg_advisory_unlock(72330017)`
	// LockTimeout bounds how long a paused holder keeps the lock: the target ends a session that is idle for longer.
	LockTimeout = `SET idle_session_timeout = '500ms'`

	// SetTerm is completed with the decimal term.
	SetTerm = `ALTER SYSTEM SET cactusfork.term = '%d'`
	// SetHolder is completed with the daemon's name.
	SetHolder = `ALTER SYSTEM SET cactusfork.holder = '%s'`
	// StopFollowing ends the stream from the primary once the settings are reloaded.
	StopFollowing = `ALTER SYSTEM SET primary_conninfo = ''`
	// FollowPrimary is completed with the primary's host, port and name.
	FollowPrimary = `ALTER SYSTEM SET primary_conninfo = 'host=%s port=%d application_name=%s'`
	// Reload puts the settings into force.
	Reload = `SELECT pg_reload_conf()`
	// Promotion makes the target a primary at the term that was set and waits until it is, so that no fence comes in between under the lock.
	Promotion = `SELECT pg_promote(true)`
)
