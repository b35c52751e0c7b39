/** The log of a node: lines on standard error, with one bound for the node's own and those of libraries. */
package routerfleet.log;
