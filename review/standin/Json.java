package standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Objects are maps, arrays are lists, whole numbers are Long, other numbers are Double. */
public final class Json {
    private final String text;
    private int at = 0;

    private Json(String text) {
        this.text = text;
    }

    /** Returns the object in the text, or null if the text is not one object. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(String text) {
        try {
            Json json = new Json(text);
            Object value = json.value();
            json.blanks();
            return json.at == text.length() && value instanceof Map ? (Map<String, Object>) value : null;
        } catch (RuntimeException e) {
            return null;
        }
    }

    /** Builds an object from names and values in turn. */
    public static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        return map;
    }

    public static String text(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    @SuppressWarnings("unchecked")
    public static List<Map<String, Object>> objects(Object value) {
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    public static long number(Object value) {
        return value instanceof Number n ? n.longValue() : 0;
    }

    public static double decimal(Object value) {
        return value instanceof Number n ? n.doubleValue() : 0.0;
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> e : map.entrySet()) {
                if (!first) out.append(',');
                first = false;
                string(String.valueOf(e.getKey()), out);
                out.append(':');
                write(e.getValue(), out);
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                if (i > 0) out.append(',');
                write(list.get(i), out);
            }
            out.append(']');
        } else if (value instanceof String s) {
            string(s, out);
        } else {
            out.append(value);
        }
    }

    private static void string(String s, StringBuilder out) {
        out.append('"');
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < 32) out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        out.append('"');
    }

    private void blanks() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) at++;
    }

    private Object value() {
        blanks();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return word.equals("true");
        if (word.matches("-?\\d+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        blanks();
        if (text.charAt(at) == '}') {
            at++;
            return map;
        }
        while (true) {
            blanks();
            String name = string();
            blanks();
            expect(':');
            map.put(name, value());
            blanks();
            if (text.charAt(at) == '}') {
                at++;
                return map;
            }
            expect(',');
        }
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        blanks();
        if (text.charAt(at) == ']') {
            at++;
            return list;
        }
        while (true) {
            list.add(value());
            blanks();
            if (text.charAt(at) == ']') {
                at++;
                return list;
            }
            expect(',');
        }
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(e);
            }
        }
        at++;
        return out.toString();
    }

    private void expect(char c) {
        if (text.charAt(at++) != c) throw new IllegalArgumentException("expected " + c);
    }
}
