package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state service of the protocol page: keys with revisions, transactions, leases and watches, with its limits. Each controller has a
 * port of its own, so that the service can be slow for, or refuse, one controller or all.
 */
public final class StateService {
    /** One key. */
    private record Entry(Object data, long mark, long tenancy) {}

    private record Change(String key, Object data, long mark) {}

    private static final class Lease {
        long lifeMs;
        long endsAtMs;
    }

    /** Tokens for a rate, with bursts worth one second. */
    private static final class Bucket {
        final double rate;
        double tokens;
        long atNanos = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            tokens = rate;
        }

        boolean take(double count) {
            long now = System.nanoTime();
            tokens = Math.min(rate, tokens + (now - atNanos) / 1e9 * rate);
            atNanos = now;
            if (tokens < count) return false;
            tokens -= count;
            return true;
        }
    }

    private static final int KEPT_CHANGES = 10_000;

    private final Record record;
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int txnOps;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private long ledger = 1;
    private long lastLease = 0;
    private boolean outage = false;
    /** Number of watches of jobs that each controller has open. */
    private final int[] openWatches;
    private int outageFor = -1;
    /** Time of an answer in milliseconds, half before and half after the request is carried out. */
    public volatile long latencyMs = 6;
    public final int[] ports;

    public StateService(Record record, int controllers, double rps, double writeRps, double valueKb, int txnOps) throws IOException {
        this.record = record;
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        valueBytes = (int) (valueKb * 1024);
        this.txnOps = txnOps;
        ports = new int[controllers];
        openWatches = new int[controllers];
        for (int i = 0; i < controllers; i++) {
            int number = i;
            ports[i] = Http.serve((method, path, query, body) -> answer(number, method, path, query, body));
        }
        Http.run(this::endLeases);
    }

    /** Begins or ends an outage, in which every request gets 503 and open watches stay open. */
    public synchronized void setOutage(boolean value) {
        outage = value;
        record.say(value ? "trouble: the state service is down" : "trouble: the state service is back");
        if (!value) for (Lease lease : leases.values()) lease.endsAtMs = nowMs() + lease.lifeMs;
        notifyAll();
    }

    /**
     * Lets an outage begin right after a cancellation was carried out for [controller] while it has no open watch of the jobs, so that it
     * has not been told of the change in another way than by the answer.
     */
    public synchronized void outageAfterCancellationFor(int controller) {
        outageFor = controller;
    }

    public synchronized boolean isDown() {
        return outage;
    }

    /** The value of a key as the service holds it; null if there is none. */
    @SuppressWarnings("unchecked")
    public synchronized Map<String, Object> data(String key) {
        Entry entry = keys.get(key);
        return entry == null ? null : (Map<String, Object>) entry.data;
    }

    /** The keys that begin with a prefix, with their values, as text for the record. */
    public synchronized List<String> dump(String prefix) {
        List<String> lines = new ArrayList<>();
        keys.tailMap(prefix).forEach((k, e) -> {
            if (k.startsWith(prefix)) lines.add(k + " revision " + e.mark + ": " + Json.text(e.data));
        });
        return lines;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private Http.Answer answer(int controller, String method, String path, String query, String body) throws Exception {
        long all = latencyMs;
        Thread.sleep(all / 2);
        Http.Answer answer = execute(controller, method, path, query, body);
        Thread.sleep(all - all / 2);
        return answer;
    }

    private Http.Answer execute(int controller, String method, String path, String query, String body) throws Exception {
        synchronized (this) {
            if (outage) return new Http.Answer(503, "{\"error\":\"down\"}");
            if (!requests.take(1)) return new Http.Answer(429, "{\"error\":\"too many requests\"}");
            if (path.equals("/watch")) return watch(controller, query);
            if (path.equals("/store")) return list(query);
            if (path.startsWith("/store/")) return get(path.substring(7));
            if (path.equals("/txn")) return transaction(controller, body);
            if (path.equals("/leases")) return grant(body);
            if (path.startsWith("/leases/")) return lease(method, path);
            return new Http.Answer(400, "{\"error\":\"unknown path\"}");
        }
    }

    private Http.Answer get(String key) {
        Entry entry = keys.get(key);
        if (entry == null) return new Http.Answer(404, "{\"ledger\":" + ledger + "}");
        return new Http.Answer(200, Json.text(item(key, entry)));
    }

    private Map<String, Object> item(String key, Entry entry) {
        Map<String, Object> item = Json.of("k", key, "data", entry.data, "mark", entry.mark);
        if (entry.tenancy > 0) item.put("tenancy", entry.tenancy);
        return item;
    }

    private Http.Answer list(String query) {
        String starts = Http.field(query, "starts");
        String after = Http.field(query, "after");
        int most = Math.min(1000, Integer.parseInt(Http.field(query, "most")));
        List<Object> entries = new ArrayList<>();
        boolean hasNext = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> e : keys.tailMap(starts).entrySet()) {
            if (!e.getKey().startsWith(starts)) break;
            if (after != null && e.getKey().compareTo(after) <= 0) continue;
            int size = Json.text(e.getValue().data).length() + e.getKey().length() + 40;
            if (entries.size() >= most || bytes + size > 512 * 1024) {
                hasNext = true;
                break;
            }
            bytes += size;
            entries.add(item(e.getKey(), e.getValue()));
        }
        return new Http.Answer(200, Json.text(Json.of("entries", entries, "hasNext", hasNext, "ledger", ledger)));
    }

    private Http.Answer transaction(int controller, String body) {
        Map<String, Object> txn = Json.object(body);
        if (txn == null || body.length() > 64 * 1024) return malformed("not a transaction");
        List<Map<String, Object>> guards = Json.objects(txn.get("guards"));
        List<Map<String, Object>> puts = Json.objects(txn.get("writes"));
        if (puts.size() > txnOps || guards.size() > 4 * txnOps) return malformed("too many operations");
        if (!writes.take(puts.size())) return new Http.Answer(429, "{\"error\":\"too many changes\"}");
        for (Map<String, Object> put : puts) {
            if (put.containsKey("write") && Json.text(put.get("data")).length() > valueBytes) return malformed("value too large");
            long tenancy = Json.number(put.get("tenancy"));
            if (tenancy > 0 && !leases.containsKey(tenancy)) return malformed("no such lease");
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Entry entry = keys.get((String) guard.get("k"));
            if ((entry == null ? 0 : entry.mark) != Json.number(guard.get("mark"))) failed.add(guard.get("k"));
        }
        if (!failed.isEmpty()) return new Http.Answer(409, Json.text(Json.of("failed", failed, "ledger", ledger)));
        if (!puts.isEmpty()) {
            ledger++;
            StringBuilder names = new StringBuilder();
            for (Map<String, Object> put : puts) {
                names.append(' ').append(put.containsKey("write") ? put.get("write") : "-" + put.get("delete"));
                apply(put);
            }
            record.add("state  revision " + ledger + " by controller " + controller + ":" + names);
            if (controller == outageFor && openWatches[controller] == 0 && puts.stream().anyMatch(StateService::cancels)) {
                outageFor = -1;
                setOutage(true);
            }
            notifyAll();
        }
        return new Http.Answer(200, "{\"ledger\":" + ledger + "}");
    }

    private static boolean cancels(Map<String, Object> put) {
        return put.get("data") instanceof Map<?, ?> data && "withdrawn".equals(data.get("stage"));
    }

    private static Http.Answer malformed(String reason) {
        return new Http.Answer(400, Json.text(Json.of("error", reason)));
    }

    private void apply(Map<String, Object> put) {
        if (put.containsKey("write")) {
            String key = (String) put.get("write");
            keys.put(key, new Entry(put.get("data"), ledger, Json.number(put.get("tenancy"))));
            changed(key, put.get("data"));
        } else {
            String key = (String) put.get("delete");
            if (keys.remove(key) != null) changed(key, null);
        }
    }

    private void changed(String key, Object data) {
        changes.add(new Change(key, data, ledger));
        if (changes.size() > KEPT_CHANGES) changes.remove(0);
    }

    private Http.Answer watch(int controller, String query) throws InterruptedException {
        String starts = Http.field(query, "starts");
        long after = Long.parseLong(Http.field(query, "after"));
        String wait = Http.field(query, "waitMs");
        long endMs = nowMs() + (wait == null ? 0 : Math.min(60_000, Long.parseLong(wait)));
        while (true) {
            if (changes.size() == KEPT_CHANGES && changes.get(0).mark > after + 1) return new Http.Answer(410, "{\"error\":\"too old\"}");
            List<Object> log = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).mark > after; i--) {
                Change c = changes.get(i);
                if (!c.key.startsWith(starts)) continue;
                log.add(c.data == null ? Json.of("delete", c.key, "mark", c.mark) : Json.of("write", c.key, "data", c.data, "mark", c.mark));
            }
            // Open watches remain open during an outage.
            if (!outage && (!log.isEmpty() || nowMs() >= endMs)) return new Http.Answer(200, Json.text(Json.of("ledger", ledger, "log", log)));
            boolean ofJobs = starts.startsWith("mf/j/");
            if (ofJobs) openWatches[controller]++;
            wait(Math.max(1, outage ? 1000 : endMs - nowMs()));
            if (ofJobs) openWatches[controller]--;
        }
    }

    private Http.Answer grant(String body) {
        Lease lease = new Lease();
        lease.lifeMs = Json.number(Json.object(body).get("lifeMs"));
        lease.endsAtMs = nowMs() + lease.lifeMs;
        leases.put(++lastLease, lease);
        return new Http.Answer(200, "{\"tenancy\":" + lastLease + "}");
    }

    private Http.Answer lease(String method, String path) {
        long id = Long.parseLong(path.split("/")[2]);
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Answer(404, "{\"error\":\"no such lease\"}");
        if (method.equals("DELETE")) {
            end(id);
            return new Http.Answer(200, "{}");
        }
        lease.endsAtMs = nowMs() + lease.lifeMs;
        return new Http.Answer(200, "{\"tenancy\":" + id + "}");
    }

    private void end(long id) {
        leases.remove(id);
        List<String> gone = new ArrayList<>();
        keys.forEach((k, e) -> {
            if (e.tenancy == id) gone.add(k);
        });
        if (gone.isEmpty()) return;
        ledger++;
        for (String key : gone) {
            keys.remove(key);
            changed(key, null);
        }
        record.add("state  revision " + ledger + ": lease " + id + " ended, " + gone + " removed");
        notifyAll();
    }

    private void endLeases() {
        while (true) {
            synchronized (this) {
                // A lease may end up to 100 ms late but never early. None ends during an outage.
                if (!outage) for (long id : new ArrayList<>(leases.keySet())) if (nowMs() > leases.get(id).endsAtMs + 20) end(id);
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
