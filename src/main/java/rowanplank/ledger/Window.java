package rowanplank.ledger;

import java.time.LocalTime;

/**
 * A part of each day, by clocks on the wall; one that ends before it begins spans midnight.
 *
 * @param from the minute of the day in which it begins
 * @param until the minute of the day before which it ends
 */
public record Window(int from, int until) {
    private static final int DAY = 24 * 60;
    private static final int HOUR = 60;
    private static final String FORM = "00:00-00:00";
    private static final int TIME = 5;

    public Window {
        if (from < 0 || from >= DAY || until < 0 || until >= DAY || from == until) {
            throw new IllegalArgumentException("no part of a day: " + from + " to " + until);
        }
    }

    /** @return null where the text is none such as 02:00-05:00 */
    public static Window parse(String text) {
        if (text.length() != FORM.length()) {
            return null;
        }
        for (int i = 0; i < FORM.length(); i++) {
            char c = text.charAt(i);
            if (FORM.charAt(i) == '0' ? c < '0' || c > '9' : c != FORM.charAt(i)) {
                return null;
            }
        }
        int from = minute(text.substring(0, TIME));
        int until = minute(text.substring(TIME + 1));
        return from < 0 || until < 0 || from == until ? null : new Window(from, until);
    }

    /** @return -1 where there is no such time of a day */
    private static int minute(String time) {
        int hour = Integer.parseInt(time.substring(0, 2));
        int minute = Integer.parseInt(time.substring(3));
        return hour * HOUR >= DAY || minute >= HOUR ? -1 : hour * HOUR + minute;
    }

    public boolean contains(LocalTime time) {
        int minute = time.getHour() * HOUR + time.getMinute();
        return from < until ? minute >= from && minute < until : minute >= from || minute < until;
    }

    @Override
    public String toString() {
        return String.format("%02d:%02d-%02d:%02d", from / HOUR, from % HOUR, until / HOUR, until % HOUR);
    }
}
