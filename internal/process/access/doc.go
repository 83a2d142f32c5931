// Package access loads certificates, authorities and passwords, and loads them again when their files change.
package access
