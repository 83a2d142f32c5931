// Package publish puts checked service files on the platform without overwriting what another operator published.
package publish
