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

/** Tests of {@link Transfer}, with this class as the source. */
class TransferTest implements Transfer.Source {
    private static final int CHUNK_BYTES = 20_000;

    private final Transfer.BufferBudget budget = new Transfer.BufferBudget();
    private final Transfer transfer = new Transfer(budget, this);
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

    /**
     * Bytes must pass in order and once, with no more held than the window and one chunk, whatever the pace of both
     * sides.
     */
    @Property(seed = "31")
    void bytesPassInOrderWithinTheBound(
            @ForAll @Size(max = 200) List<@IntRange(min = 1, max = CHUNK_BYTES) Integer> steps) {
        int sent = 0;
        int got = 0;
        boolean mayOffer = true;
        for (int step : steps) {
            if (step % 2 == 0 && (mayOffer || resumed > 0)) {
                ByteBuffer chunk = ByteBuffer.allocate(step);
                for (int i = 0; i < step; i++) {
                    chunk.put((byte) sent++);
                }
                resumed = 0;
                mayOffer = transfer.offer(chunk.flip());
            } else {
                got = take(got);
            }
            assertTrue(budget.heldBytes() <= Transfer.WINDOW + CHUNK_BYTES);
        }
        transfer.end();
        for (int before = -1; before != got;) {
            before = got;
            got = take(got);
        }
        assertEquals(sent, got);
        assertTrue(transfer.isFullyRead());
        assertEquals(0, budget.heldBytes());
    }

    private int take(int got) {
        ByteBuffer chunk = transfer.poll();
        int at = got;
        while (chunk != null && chunk.hasRemaining()) {
            assertEquals((byte) at++, chunk.get());
        }
        return at;
    }

    /** Where all transfers together hold much memory, each must pause with a small window. */
    @Example
    void whereAllTransfersHoldMuchEachHoldsLittle() {
        List<Transfer> others = new ArrayList<>();
        while (budget.heldBytes() <= Transfer.BufferBudget.SMALL_WINDOW_THRESHOLD) {
            Transfer other = new Transfer(budget, this);
            while (other.offer(ByteBuffer.allocate(CHUNK_BYTES))) { }
            others.add(other);
        }
        assertFalse(transfer.offer(ByteBuffer.allocate(Transfer.SMALL_WINDOW)));
        others.forEach(Transfer::abandon);
        assertEquals(Transfer.SMALL_WINDOW, budget.heldBytes());
        assertEquals(others.size(), abandoned);
    }

    /**
     * Every way to end a transfer must return its bytes to the budget; bytes never returned would in the end slow all
     * other transfers.
     */
    @Example
    void everyEndReturnsItsBytesToTheBudget() {
        List<Runnable> endings = List.of(transfer::fail, transfer::abandon, transfer::discard);
        for (int i = 0; i < endings.size(); i++) {
            Transfer other = new Transfer(budget, this);
            other.offer(ByteBuffer.allocate(CHUNK_BYTES));
            other.poll();
            other.offer(ByteBuffer.allocate(CHUNK_BYTES));
            List.<Runnable>of(other::fail, other::abandon, other::discard).get(i).run();
            assertEquals(0, budget.heldBytes());
            assertNull(other.poll());
            assertFalse(other.isFullyRead(), "it must not count as complete");
            other.offer(ByteBuffer.allocate(CHUNK_BYTES));
            assertEquals(0, budget.heldBytes(), "nothing is taken after its end");
        }
    }

    @Example
    void theReaderIsToldOfEachChunkAndOfTheEnd() {
        List<String> calls = new ArrayList<>();
        transfer.offer(ByteBuffer.allocate(1));
        assertFalse(transfer.hasReadStarted());
        transfer.setReader(() -> calls.add(transfer.poll() + " " + transfer.isFullyRead() + transfer.hasFailed()));
        transfer.offer(ByteBuffer.allocate(2));
        transfer.end();
        assertTrue(transfer.hasReadStarted());
        assertEquals(3, calls.size());
        assertEquals("null truefalse", calls.get(2));
    }
}
