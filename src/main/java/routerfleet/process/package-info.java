/** What a process of the fleet adds to the node that runs in it: its settings file, signals, and its end. */
package routerfleet.process;
