// Package topology holds the configuration in force and the targets that are known, apart from where they were learnt.
package topology
