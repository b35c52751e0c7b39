package rowanplank.agreement;

/**
 * Puts a snapshot together that comes in pieces. One at a time: a piece of another snapshot begins that one.
 *
 * <p>Bound: the bytes of one snapshot, whose length the caller has checked.
 */
final class SnapshotAssembler {
    private Message.SnapshotChunk first;
    private byte[] gathered;
    private int have;

    /** How many bytes are there, without a gap from the beginning on. */
    int have() {
        return have;
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
            gathered = new byte[piece.whole()];
            have = 0;
        }
        if (piece.offset() == have && piece.bytes().length <= gathered.length - have) {
            System.arraycopy(piece.bytes(), 0, gathered, have, piece.bytes().length);
            have += piece.bytes().length;
        }
        if (have < gathered.length) {
            return null;
        }
        Snapshot whole = new Snapshot(piece.index(), piece.indexTerm(), piece.voters(), gathered);
        first = null;
        gathered = null;
        return whole;
    }
}
