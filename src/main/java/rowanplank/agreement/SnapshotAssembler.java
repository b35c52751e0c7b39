package rowanplank.agreement;

/**
 * Assembles a snapshot from its chunks, one snapshot at a time: a chunk of another snapshot starts over with that one.
 *
 * <p>Memory: the bytes of one snapshot, whose length the caller has checked.
 */
final class SnapshotAssembler {
    private Message.SnapshotChunk first;
    private byte[] buffer;
    private int bytesReceived;

    /** The number of bytes received without a gap from the start. */
    int bytesReceived() {
        return bytesReceived;
    }

    /**
     * Adds a chunk. A chunk that leaves a gap, or that was added before, is ignored.
     *
     * @param chunk a chunk of a snapshot whose total length is within the limit
     * @return the snapshot if this chunk completed it, else null
     */
    Snapshot add(Message.SnapshotChunk chunk) {
        if (first == null || first.index() != chunk.index() || first.whole() != chunk.whole()) {
            first = chunk;
            buffer = new byte[chunk.whole()];
            bytesReceived = 0;
        }
        if (chunk.offset() == bytesReceived && chunk.bytes().length <= buffer.length - bytesReceived) {
            System.arraycopy(chunk.bytes(), 0, buffer, bytesReceived, chunk.bytes().length);
            bytesReceived += chunk.bytes().length;
        }
        if (bytesReceived < buffer.length) {
            return null;
        }
        Snapshot complete = new Snapshot(chunk.index(), chunk.indexTerm(), chunk.voters(), buffer);
        first = null;
        buffer = null;
        return complete;
    }
}
