package rowanplank.intake.admin;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rowanplank.ledger.Command.Staff;
import rowanplank.ledger.Command.StaffWord;
import rowanplank.ledger.Result;
import rowanplank.ledger.Window;

/** Staff's words on the order of work, as they stand in a call's path behind {@code /api/fleet}. */
final class WorkCalls {
    private static final String NAME = "[A-Za-z0-9._-]{1,64}";
    private static final String ID = "([0-9]{1,18})";
    private static final String TEXT = "([^/]{0,300})";
    private static final int MOST_TEXT = 100;
    private static final int MOST_MACHINES = 1000;
    private static final int MOST_BYTES = 700;
    private static final Pattern ASK = Pattern.compile("/work/ask/" + ID + "/(" + NAME + "(?:," + NAME
            + ")*)/(word|restart)/([0-9]{1,12})/(true|false)/(?:([0-9]{2}:[0-9]{2}-[0-9]{2}:[0-9]{2})/)?" + TEXT);
    private static final Pattern ONE = Pattern.compile("/work/(done|cancel|skip|forget)/" + ID + "/(" + NAME + ")");
    private static final Pattern HOLD = Pattern.compile("/work/hold/" + ID + "/" + TEXT);
    private static final Pattern GO = Pattern.compile("/work/go/" + ID);

    private WorkCalls() { }

    /** @param by where it was said @return null where it is none */
    static Staff read(String path, String by) {
        Matcher m = ASK.matcher(path);
        if (m.matches()) {
            List<String> machines = List.of(m.group(2).split(","));
            Window window = m.group(6) == null ? null : Window.parse(m.group(6));
            return machines.size() > MOST_MACHINES || m.group(2).length() > MOST_BYTES || m.group(6) != null && window == null
                    ? null : new Staff(Long.parseLong(m.group(1)), StaffWord.ASK, machines, by, text(m.group(7)),
                            m.group(5).equals("true"), m.group(3).equals("restart"), Long.parseLong(m.group(4)), window);
        }
        m = ONE.matcher(path);
        if (m.matches()) {
            return word(Long.parseLong(m.group(2)), StaffWord.valueOf(m.group(1).toUpperCase(Locale.ROOT)),
                    List.of(m.group(3)), by, "");
        }
        m = HOLD.matcher(path);
        if (m.matches()) {
            return word(Long.parseLong(m.group(1)), StaffWord.HOLD, List.of(), by, text(m.group(2)));
        }
        m = GO.matcher(path);
        return m.matches() ? word(Long.parseLong(m.group(1)), StaffWord.GO, List.of(), by, "") : null;
    }

    private static Staff word(long id, StaffWord what, List<String> machines, String by, String why) {
        return new Staff(id, what, machines, by, why, false, false, 0);
    }

    private static String text(String encoded) {
        try {
            String text = URLDecoder.decode(encoded, StandardCharsets.UTF_8).replaceAll("[\\p{Cntrl}]", " ");
            return text.substring(0, Math.min(MOST_TEXT, text.length()));
        } catch (IllegalArgumentException e) {
            return "";
        }
    }

    /** Why it was not done; null where it was. @param result null where that is not known */
    static String refused(Staff words, Result result) {
        return switch (result.kind()) {
            case SET -> null;
            case TOO_NEW -> "not all voters know of the order of work yet, or of windows and forget: some are of an earlier version";
            case HELD -> words.machines().get(0) + " lives: forget is for one that is gone for good";
            case NOT_HELD -> words.what() == StaffWord.ASK ? "no node is known of machine " + result.node()
                    : words.what() == StaffWord.DONE ? words.machines().get(0) + " is not out"
                    : "nothing was asked of " + words.machines().get(0);
            default -> "it was answered with " + result.kind();
        };
    }
}
