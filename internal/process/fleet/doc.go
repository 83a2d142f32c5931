// Package fleet asks running daemons at their admin addresses and puts their answers together.
package fleet
