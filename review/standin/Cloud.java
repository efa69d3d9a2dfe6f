package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol page. Machines that it rents are up after their boot time; it lists them as of `lagS` ago. */
public final class Cloud {
    /** A machine type. */
    public record Type(String sku, double vcpus, double memoryGb, double price, double lowPrice, double bootS, double fetchGbPerS, List<String> fields) {}

    private static final class Machine {
        String id;
        Type type;
        String field;
        boolean gleaning;
        double rentedAt;
        double listedFrom;
        double goneAt = Double.MAX_VALUE;
        Worker worker;
    }

    private final Record record;
    private final Fleet fleet;
    private final Map<String, Type> types = new LinkedHashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, String> pleas = new LinkedHashMap<>();
    private final double lagS;
    private final int mostMachines;
    private int last = 0;
    public final int port;

    /** Starts the worker of a machine. */
    public interface Fleet {
        Worker start(String id, Type type, String field, boolean gleaning) throws IOException;
    }

    public Cloud(Record record, List<Type> types, double lagS, int mostMachines, Fleet fleet) throws IOException {
        this.record = record;
        this.fleet = fleet;
        this.lagS = lagS;
        this.mostMachines = mostMachines;
        for (Type type : types) this.types.put(type.sku, type);
        port = Http.serve(this::answer);
    }

    /** Adds a machine that has been up for long. */
    public synchronized Worker add(String sku, String field) throws IOException {
        Machine machine = create(types.get(sku), field, false);
        machine.rentedAt = -600;
        machine.listedFrom = -600;
        machine.worker = fleet.start(machine.id, machine.type, field, false);
        return machine.worker;
    }

    private Machine create(Type type, String field, boolean gleaning) {
        Machine machine = new Machine();
        machine.id = String.format("m-%06d", ++last);
        machine.type = type;
        machine.field = field;
        machine.gleaning = gleaning;
        machine.rentedAt = record.now();
        machine.listedFrom = record.now() + lagS;
        machines.put(machine.id, machine);
        return machine;
    }

    private Http.Answer answer(String method, String path, String query, String body) throws Exception {
        Thread.sleep(100);
        synchronized (this) {
            return switch (path) {
                case "/machine_types" -> types();
                case "/rentals" -> method.equals("GET") ? list(query) : rent(body);
                case "/rentals/delete" -> delete(body);
                default -> new Http.Answer(400, "{\"error\":\"unknown path\"}");
            };
        }
    }

    private Http.Answer types() {
        List<Object> breeds = new ArrayList<>();
        for (Type t : types.values()) {
            breeds.add(Json.of("sku", t.sku, "vcpus", t.vcpus, "cards", 0.0, "memoryGb", t.memoryGb, "cacheGb", 70.0, "fetchGbPerS", t.fetchGbPerS,
                "price", t.price, "lowPrice", t.lowPrice, "bootS", t.bootS, "fields", t.fields));
        }
        return new Http.Answer(200, Json.text(Json.of("breeds", breeds)));
    }

    private Http.Answer rent(String body) {
        Map<String, Object> request = Json.object(body);
        String plea = (String) request.get("plea");
        if (pleas.containsKey(plea)) return new Http.Answer(200, pleas.get(plea));
        int number = (int) Math.min(Json.number(request.get("number")), mostMachines - running());
        if (number <= 0) return new Http.Answer(503, "{\"error\":\"no capacity\"}");
        List<Object> ids = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Machine machine = create(types.get((String) request.get("breed")), (String) request.get("field"), Boolean.TRUE.equals(request.get("gleaning")));
            ids.add(machine.id);
            Http.run(() -> boot(machine));
        }
        String answer = Json.text(Json.of("plots", ids));
        pleas.put(plea, answer);
        record.add("cloud  rents " + answer + " for " + body);
        return new Http.Answer(200, answer);
    }

    private int running() {
        int count = 0;
        for (Machine m : machines.values()) if (m.goneAt == Double.MAX_VALUE) count++;
        return count;
    }

    private void boot(Machine machine) {
        try {
            Thread.sleep((long) (machine.type.bootS * 1000));
            synchronized (this) {
                if (machine.goneAt == Double.MAX_VALUE) machine.worker = fleet.start(machine.id, machine.type, machine.field, machine.gleaning);
            }
        } catch (IOException | InterruptedException e) {
            e.printStackTrace();
        }
    }

    private Http.Answer delete(String body) {
        for (Object id : (List<?>) Json.object(body).get("plots")) {
            Machine machine = machines.get(id);
            if (machine == null || machine.goneAt < Double.MAX_VALUE) continue;
            machine.goneAt = record.now();
            if (machine.worker != null) machine.worker.stop("the machine is deleted");
        }
        record.add("cloud  deletes " + body);
        return new Http.Answer(200, "{}");
    }

    private Http.Answer list(String query) {
        String after = Http.field(query, "after");
        int most = Math.min(500, Integer.parseInt(Http.field(query, "most")));
        List<Object> plots = new ArrayList<>();
        boolean hasNext = false;
        double asOf = record.now() - lagS;
        for (Machine m : machines.values()) {
            if (after != null && m.id.compareTo(after) <= 0) continue;
            if (m.listedFrom - lagS > asOf || m.goneAt < asOf) continue;
            if (plots.size() >= most) {
                hasNext = true;
                break;
            }
            boolean up = asOf - m.rentedAt >= m.type.bootS;
            plots.add(Json.of("id", m.id, "address", m.worker == null ? "127.0.0.1:1" : m.worker.address(), "breed", m.type.sku, "field", m.field,
                "gleaning", m.gleaning, "stage", up ? "running" : "starting", "heldS", asOf - m.rentedAt));
        }
        return new Http.Answer(200, Json.text(Json.of("plots", plots, "hasNext", hasNext)));
    }
}
