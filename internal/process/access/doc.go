// Package access loads certificates, certificate authorities and password verifiers from files, and reloads changed files.
package access
