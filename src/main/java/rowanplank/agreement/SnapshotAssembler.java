package rowanplank.agreement;

/**
 * Puts a snapshot together that comes in pieces. One at a time: a piece of another snapshot begins that one.
 *
 * <p>Bound: the bytes of one snapshot, whose length the caller has checked.
 */
final class SnapshotAssembler {
    private Message.SnapshotChunk first;
    private byte[] buffer;
    private int bytesReceived;

    /** How many bytes are there, without a gap from the beginning on. */
    int bytesReceived() {
        return bytesReceived;
    }

    /**
     * Takes a piece; one that leaves a gap, or was there before, is passed over.
     *
     * @param piece of a snapshot whose whole length is in bounds
     * @return the snapshot, if this piece was its last; else null
     */
    Snapshot add(Message.SnapshotChunk piece) {
        if (first == null || first.index() != piece.index() || first.whole() != piece.whole()) {
            first = piece;
            buffer = new byte[piece.whole()];
            bytesReceived = 0;
        }
        if (piece.offset() == bytesReceived && piece.bytes().length <= buffer.length - bytesReceived) {
            System.arraycopy(piece.bytes(), 0, buffer, bytesReceived, piece.bytes().length);
            bytesReceived += piece.bytes().length;
        }
        if (bytesReceived < buffer.length) {
            return null;
        }
        Snapshot whole = new Snapshot(piece.index(), piece.indexTerm(), piece.voters(), buffer);
        first = null;
        buffer = null;
        return whole;
    }
}
