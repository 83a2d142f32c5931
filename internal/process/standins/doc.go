// Package standins serves a stand-in platform and group to daemons in processes of their own.
package standins
