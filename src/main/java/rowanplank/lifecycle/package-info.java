/** The node's one state, and what follows from it for clients, front and staff. */
package rowanplank.lifecycle;
