/**
 * The one stream of events of a day, and what can be done with it: a digest over all of it
 * ({@link rowanplank.lab.trace.Digest}), a file ({@link rowanplank.lab.trace.TraceFile}), the first event in which two
 * of them differ ({@link rowanplank.lab.trace.Compare}), the last ones ({@link rowanplank.lab.trace.Recent}).
 */
package rowanplank.lab.trace;
