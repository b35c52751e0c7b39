package rowanplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TransferTest implements Transfer.Source {
    private static final int PIECE = 20_000;

    private final Transfer.BufferBudget room = new Transfer.BufferBudget();
    private final Transfer transfer = new Transfer(room, this);
    private int resumed;
    private int abandoned;

    @Override
    public void resume() {
        resumed++;
    }

    @Override
    public void abandoned() {
        abandoned++;
    }

    /** What comes goes on in order and once, and no more is held than the bound and one piece, at any pace of both sides. */
    @Property(seed = "31")
    void bytesPassInOrderWithinTheBound(@ForAll @Size(max = 200) List<@IntRange(min = 1, max = PIECE) Integer> steps) {
        int sent = 0;
        int got = 0;
        boolean room = true;
        for (int step : steps) {
            if (step % 2 == 0 && (room || resumed > 0)) {
                ByteBuffer piece = ByteBuffer.allocate(step);
                for (int i = 0; i < step; i++) {
                    piece.put((byte) sent++);
                }
                resumed = 0;
                room = transfer.offer(piece.flip());
            } else {
                got = take(got);
            }
            assertTrue(this.room.heldBytes() <= Transfer.WINDOW + PIECE);
        }
        transfer.end();
        for (int before = -1; before != got;) {
            before = got;
            got = take(got);
        }
        assertEquals(sent, got);
        assertTrue(transfer.isFullyRead());
        assertEquals(0, this.room.heldBytes());
    }

    private int take(int got) {
        ByteBuffer piece = transfer.poll();
        int at = got;
        while (piece != null && piece.hasRemaining()) {
            assertEquals((byte) at++, piece.get());
        }
        return at;
    }

    /** Guards the heap: where all together hold much, each stops with little. */
    @Example
    void whereAllHoldMuchEachHoldsLittle() {
        List<Transfer> others = new ArrayList<>();
        while (room.heldBytes() <= Transfer.BufferBudget.SMALL_WINDOW_THRESHOLD) {
            Transfer other = new Transfer(room, this);
            while (other.offer(ByteBuffer.allocate(PIECE))) { }
            others.add(other);
        }
        assertFalse(transfer.offer(ByteBuffer.allocate(Transfer.SMALL_WINDOW)));
        others.forEach(Transfer::abandon);
        assertEquals(Transfer.SMALL_WINDOW, room.heldBytes());
        assertEquals(others.size(), abandoned);
    }

    /** Room that is never given back would stop all others in the end. */
    @Example
    void whateverEndsItGivesItsRoomBack() {
        List<Runnable> endings = List.of(transfer::fail, transfer::abandon, transfer::discard);
        for (int i = 0; i < endings.size(); i++) {
            Transfer other = new Transfer(room, this);
            other.offer(ByteBuffer.allocate(PIECE));
            other.poll();
            other.offer(ByteBuffer.allocate(PIECE));
            List.<Runnable>of(other::fail, other::abandon, other::discard).get(i).run();
            assertEquals(0, room.heldBytes());
            assertNull(other.poll());
            assertFalse(other.isFullyRead(), "it must not pass for whole");
            other.offer(ByteBuffer.allocate(PIECE));
            assertEquals(0, room.heldBytes(), "nothing is taken after its end");
        }
    }

    @Example
    void theSinkHearsOfEachPieceOfTheEndAndOfAFailure() {
        List<String> heard = new ArrayList<>();
        transfer.offer(ByteBuffer.allocate(1));
        assertFalse(transfer.hasReadStarted());
        transfer.setReader(() -> heard.add(transfer.poll() + " " + transfer.isFullyRead() + transfer.hasFailed()));
        transfer.offer(ByteBuffer.allocate(2));
        transfer.end();
        assertTrue(transfer.hasReadStarted());
        assertEquals(3, heard.size());
        assertEquals("null truefalse", heard.get(2));
    }
}
