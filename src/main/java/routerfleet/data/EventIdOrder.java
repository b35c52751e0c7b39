package routerfleet.data;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The order of event ids. The protocol says only that the ids of a stream rise, not in which form: ids are compared if they
 * differ in decimal numbers alone, as {@code 15} and {@code 120} or {@code 1764860000123-0} and {@code 1764860000123-1} do.
 */
final class EventIdOrder {
    private static final Pattern NUMBER = Pattern.compile("[0-9]+");

    private EventIdOrder() { }

    /** Whether one id is known to come before another one. */
    static boolean precedes(String id, String other) {
        Matcher number = NUMBER.matcher(id);
        Matcher otherNumber = NUMBER.matcher(other);
        int comparison = 0;
        int end = 0;
        int otherEnd = 0;
        while (number.find()) {
            if (!otherNumber.find() || !id.substring(end, number.start())
                    .equals(other.substring(otherEnd, otherNumber.start()))) {
                return false;
            }
            if (comparison == 0) {
                comparison = compareNumbers(number.group(), otherNumber.group());
            }
            end = number.end();
            otherEnd = otherNumber.end();
        }
        return comparison < 0 && !otherNumber.find() && id.substring(end).equals(other.substring(otherEnd));
    }

    /** Compares decimal numbers of any length. */
    private static int compareNumbers(String number, String other) {
        String digits = withoutLeadingZeros(number);
        String otherDigits = withoutLeadingZeros(other);
        return digits.length() != otherDigits.length() ? Integer.compare(digits.length(), otherDigits.length())
                : digits.compareTo(otherDigits);
    }

    private static String withoutLeadingZeros(String number) {
        int at = 0;
        while (at < number.length() - 1 && number.charAt(at) == '0') {
            at++;
        }
        return number.substring(at);
    }
}
