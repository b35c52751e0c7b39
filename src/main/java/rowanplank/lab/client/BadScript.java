package rowanplank.lab.client;

import java.util.Iterator;

/**
 * What a bad client sends, piece by piece, and what it does then.
 *
 * @param pieces each is written once the one before is
 * @param mayBeServed whether an answer that says so may be right
 */
record BadScript(Iterator<byte[]> pieces, Then then, boolean mayBeServed) {
    enum Then { STAY, END_SENDING, CLOSE }
}
