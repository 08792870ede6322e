export * from './gen/medlarlane/control/v1/control_pb.js';
