// Package service parses and validates the service files that operators keep beside a service's code.
package service
