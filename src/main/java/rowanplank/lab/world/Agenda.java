package rowanplank.lab.world;

import java.util.Arrays;

/**
 * What is to happen, by time and then by order of entry: a binary heap whose entries know their place, so that one
 * can be struck out. Adding, striking out and taking the first cost O(log n).
 */
public final class Agenda {
    /** Something that is to happen. */
    public final class Entry {
        private final long at;
        private final long number;
        private final Runnable task;
        private int place;

        private Entry(long at, long number, Runnable task) {
            this.at = at;
            this.number = number;
            this.task = task;
        }

        public long at() {
            return at;
        }

        Runnable task() {
            return task;
        }

        /** @return whether it was still to come */
        public boolean strike() {
            if (place < 0) {
                return false;
            }
            remove(place);
            return true;
        }

        private boolean before(Entry other) {
            return at < other.at || at == other.at && number < other.number;
        }
    }

    private static final int GONE = -1;

    private Entry[] heap = new Entry[1024];
    private int size;
    private long count;

    Entry add(long at, Runnable task) {
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        Entry e = new Entry(at, count++, task);
        rise(e, size++);
        return e;
    }

    Entry first() {
        return heap[0];
    }

    Entry poll() {
        Entry first = heap[0];
        if (first != null) {
            remove(0);
        }
        return first;
    }

    int size() {
        return size;
    }

    private void remove(int place) {
        heap[place].place = GONE;
        Entry last = heap[--size];
        heap[size] = null;
        if (place < size) {
            sink(last, place);
            if (last.place == place) {
                rise(last, place);
            }
        }
    }

    private void rise(Entry e, int from) {
        int place = from;
        while (place > 0 && e.before(heap[(place - 1) / 2])) {
            put(heap[(place - 1) / 2], place);
            place = (place - 1) / 2;
        }
        put(e, place);
    }

    private void sink(Entry e, int from) {
        int place = from;
        for (int child; (child = 2 * place + 1) < size; place = child) {
            if (child + 1 < size && heap[child + 1].before(heap[child])) {
                child++;
            }
            if (!heap[child].before(e)) {
                break;
            }
            put(heap[child], place);
        }
        put(e, place);
    }

    private void put(Entry e, int place) {
        heap[place] = e;
        e.place = place;
    }
}
