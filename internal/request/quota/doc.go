// Package quota divides the limits of workspaces among the daemons, without a coordinator and without I/O.
//
// An Issuer holds a data centre's part of each limit and grants tokens out of it. A Stock holds the tokens that a daemon has got for
// its operations, and decides which issuer to ask next and for how many.
package quota
