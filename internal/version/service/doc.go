// Package service reads and checks the short files that operators keep beside a service's code.
package service
