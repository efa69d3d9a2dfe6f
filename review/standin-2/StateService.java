import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The state service: keys with revisions, leases, transactions and watches, with one port for each controller. */
final class StateService {
    private record Entry(Object data, long mark, long lease) {}

    private record Change(String key, Object data, boolean deleted, long mark) {}

    private static final class Lease {
        long lifeMs;
        long endsAt;
    }

    /** What happens to the requests of one controller. */
    enum Fault {
        NONE,
        /** Every request gets 503; open watches wait. */
        REFUSED,
        /** Requests get no answer and are not executed. */
        SILENT
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<String, Fault> faults = new ConcurrentHashMap<>();
    private final double rps;
    private double writeRps;
    private double valueKb;
    private int txnOps;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    private long ledger;
    private long lastLease;
    private long droppedUpTo;
    volatile long requests;
    volatile long refusedForRate;
    /** Milliseconds by which each answer is held back. */
    volatile long slowMs = 2;

    StateService(double rps, double writeRps, double valueKb, int txnOps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
        Thread expiry = new Thread(this::expireLeases, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    /** Opens a port for the controller and returns it. */
    int portFor(String member) {
        return Http.serve((method, path, query, body) -> handle(member, method, path, query, body));
    }

    void fault(String member, Fault fault) {
        faults.put(member, fault);
        synchronized (this) {
            if (fault == Fault.NONE) notifyAll();
        }
    }

    /** Lowers the limits without notice. What is stored stays readable. */
    synchronized void lowerLimits(double newWriteRps, double newValueKb, int newTxnOps) {
        refill();
        writeRps = newWriteRps;
        valueKb = newValueKb;
        txnOps = newTxnOps;
        Record.say("the state service lowers its limits: " + newValueKb + " KiB a value, " + newTxnOps + " changes a transaction, " + newWriteRps + " changes a second");
    }

    private Fault faultOf(String member) {
        return faults.getOrDefault(member, Fault.NONE);
    }

    private Http.Answer handle(String member, String method, String path, String query, String body) {
        if (faultOf(member) == Fault.SILENT) {
            Http.sleep(30_000);
            return Http.Answer.NONE;
        }
        if (faultOf(member) == Fault.REFUSED) return new Http.Answer(503, "{}");
        synchronized (this) {
            requests++;
            refill();
            if (requestTokens < 1) {
                refusedForRate++;
                return new Http.Answer(429, "{}");
            }
            requestTokens--;
        }
        if (path.equals("/watch")) return watch(member, arguments(query));
        Http.Answer answer = execute(method, path, query, body);
        Http.sleep(slowMs);
        if (faultOf(member) == Fault.SILENT) return Http.Answer.NONE;
        return answer;
    }

    private void refill() {
        long now = System.nanoTime();
        double seconds = (now - refilledAt) / 1e9;
        refilledAt = now;
        requestTokens = Math.min(rps, requestTokens + seconds * rps);
        writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
    }

    private static Map<String, String> arguments(String query) {
        Map<String, String> arguments = new HashMap<>();
        if (query == null) return arguments;
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) arguments.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return arguments;
    }

    private synchronized Http.Answer execute(String method, String path, String query, String body) {
        if (path.equals("/store")) return list(arguments(query));
        if (path.startsWith("/store/")) return get(path.substring("/store/".length()));
        if (path.equals("/txn")) return transaction(J.map(J.parse(body)));
        if (path.equals("/leases")) return grant(J.map(J.parse(body)));
        if (path.startsWith("/leases/")) return lease(method, path);
        return new Http.Answer(400, "{}");
    }

    private Http.Answer get(String key) {
        Entry entry = entries.get(key);
        if (entry == null) return new Http.Answer(404, J.write(J.of("ledger", ledger)));
        return new Http.Answer(200, J.write(json(key, entry)));
    }

    private static Map<String, Object> json(String key, Entry entry) {
        Map<String, Object> json = J.of("k", key, "data", entry.data, "mark", entry.mark);
        if (entry.lease != 0) json.put("tenancy", entry.lease);
        return json;
    }

    private Http.Answer list(Map<String, String> arguments) {
        String prefix = arguments.getOrDefault("starts", "");
        String after = arguments.get("after");
        long most = Math.min(1000, Long.parseLong(arguments.getOrDefault("most", "1000")));
        List<Object> found = new ArrayList<>();
        long bytes = 0;
        boolean hasNext = false;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (after != null && entry.getKey().compareTo(after) <= 0) continue;
            Map<String, Object> json = json(entry.getKey(), entry.getValue());
            bytes += J.write(json).length();
            if (found.size() >= most || bytes > 512 * 1024) {
                hasNext = true;
                break;
            }
            found.add(json);
        }
        return new Http.Answer(200, J.write(J.of("entries", found, "hasNext", hasNext, "ledger", ledger)));
    }

    private Http.Answer transaction(Map<String, Object> request) {
        List<Object> guards = J.list(request.get("guards"));
        List<Object> writes = J.list(request.get("writes"));
        if (writes.size() > txnOps || guards.size() > 4 * txnOps || J.write(request).length() > 64 * 1024) return malformed("too large");
        java.util.Set<String> keys = new java.util.HashSet<>();
        for (Object item : writes) {
            Map<String, Object> write = J.map(item);
            String key = (String) (write.containsKey("write") ? write.get("write") : write.get("delete"));
            if (!keys.add(key)) return malformed("key twice");
            if (write.containsKey("write") && J.write(write.get("data")).length() > valueKb * 1024)
                return malformed("value of " + J.write(write.get("data")).length() + " bytes for " + key);
        }
        refill();
        if (writeTokens < writes.size()) {
            refusedForRate++;
            return new Http.Answer(429, "{}");
        }
        writeTokens -= writes.size();
        for (Object item : writes) {
            long lease = J.num(J.map(item).get("tenancy"));
            if (lease != 0 && !leases.containsKey(lease)) return malformed("no such lease");
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : guards) {
            Map<String, Object> guard = J.map(item);
            Entry entry = entries.get((String) guard.get("k"));
            if ((entry == null ? 0 : entry.mark) != J.num(guard.get("mark"))) failed.add(guard.get("k"));
        }
        if (!failed.isEmpty()) return new Http.Answer(409, J.write(J.of("failed", failed, "ledger", ledger)));
        if (!writes.isEmpty()) {
            ledger++;
            for (Object item : writes) apply(J.map(item));
            notifyAll();
        }
        return new Http.Answer(200, J.write(J.of("ledger", ledger)));
    }

    private static Http.Answer malformed(String reason) {
        Record.add("state service answers 400: " + reason);
        return new Http.Answer(400, J.write(J.of("error", reason)));
    }

    private void apply(Map<String, Object> write) {
        if (write.containsKey("write")) {
            String key = (String) write.get("write");
            Record.add("state service writes " + key + ", " + J.write(write.get("data")).length() + " bytes");
            entries.put(key, new Entry(write.get("data"), ledger, J.num(write.get("tenancy"))));
            note(new Change(key, write.get("data"), false, ledger));
        } else {
            String key = (String) write.get("delete");
            if (entries.remove(key) != null) note(new Change(key, null, true, ledger));
        }
    }

    private void note(Change change) {
        changes.addLast(change);
        if (changes.size() > 10_000) droppedUpTo = changes.removeFirst().mark;
    }

    private Http.Answer grant(Map<String, Object> request) {
        Lease lease = new Lease();
        lease.lifeMs = J.num(request.get("lifeMs"));
        if (lease.lifeMs < 100 || lease.lifeMs > 600_000) return malformed("lifeMs");
        lease.endsAt = System.nanoTime() + lease.lifeMs * 1_000_000;
        leases.put(++lastLease, lease);
        return new Http.Answer(200, J.write(J.of("tenancy", lastLease)));
    }

    private Http.Answer lease(String method, String path) {
        String[] parts = path.split("/");
        long id = Long.parseLong(parts[2]);
        Lease lease = leases.get(id);
        if (lease == null) return new Http.Answer(404, "{}");
        if (method.equals("DELETE")) end(id);
        else lease.endsAt = System.nanoTime() + lease.lifeMs * 1_000_000;
        return new Http.Answer(200, J.write(J.of("tenancy", id)));
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.lease == id) keys.add(key);
        });
        if (keys.isEmpty()) return;
        ledger++;
        for (String key : keys) {
            entries.remove(key);
            note(new Change(key, null, true, ledger));
        }
        notifyAll();
    }

    private void expireLeases() {
        while (true) {
            Http.sleep(20);
            synchronized (this) {
                long now = System.nanoTime();
                for (Long id : new ArrayList<>(leases.keySet())) if (now - leases.get(id).endsAt > 0) end(id);
            }
        }
    }

    private Http.Answer watch(String member, Map<String, String> arguments) {
        String prefix = arguments.getOrDefault("starts", "");
        long after = Long.parseLong(arguments.getOrDefault("after", "0"));
        long deadline = System.nanoTime() + Math.min(60_000, Long.parseLong(arguments.getOrDefault("waitMs", "0"))) * 1_000_000;
        synchronized (this) {
            while (true) {
                boolean served = faultOf(member) == Fault.NONE;
                if (served && after < droppedUpTo) return new Http.Answer(410, "{}");
                List<Object> log = new ArrayList<>();
                for (Change change : changes) {
                    if (change.mark <= after || !change.key.startsWith(prefix)) continue;
                    log.add(change.deleted ? J.of("delete", change.key, "mark", change.mark) : J.of("write", change.key, "data", change.data, "mark", change.mark));
                }
                long left = (deadline - System.nanoTime()) / 1_000_000;
                if (served && (!log.isEmpty() || left <= 0)) return new Http.Answer(200, J.write(J.of("ledger", ledger, "log", log)));
                try {
                    wait(served ? Math.max(1, left) : 50);
                } catch (InterruptedException e) {
                    return Http.Answer.NONE;
                }
            }
        }
    }
}
